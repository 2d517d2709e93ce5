package org.passhaven.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.soak.plan.Addition;
import org.passhaven.soak.process.MemoryRoom;
import org.passhaven.soak.process.RunLine;
import org.passhaven.soak.run.JudgedRun;
import org.passhaven.soak.run.SoakLoad;
import org.passhaven.soak.run.SoakRun;
import org.passhaven.soak.run.SoakSettings;
import org.passhaven.soak.run.Verdict;

/** Runs the real programs of the users' platform under faults, and judges what was seen. */
final class SoakCommand implements Command {
  private static final double DEFAULT_MINUTES = 2;
  private static final double MOST_MINUTES = 24 * 60;
  private static final long DEFAULT_NODES = 3;
  private static final long MOST_NODES = 500;
  private static final long MILLIS_PER_MINUTE = 60_000;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "runs the real programs as processes under faults, and checks their promises";
  }

  @Override
  public Options options() {
    Options options =
        new Options()
            .addOption(Flags.withValue("seed", "S", "seed of the plan and load; 1 if not given"))
            .addOption(Flags.withValue("seeds", "A..B", "runs each of these seeds in turn"))
            .addOption(Flags.withValue("minutes", "N", "length of the traffic; 2 if not given"))
            .addOption(Flags.withValue("nodes", "K", "processes; 3 if not given"))
            .addOption(
                Flags.withValue("out", "DIR", "where each seed leaves a folder; target/soak"))
            .addOption(Flags.withValue("repository", "DIR", "where the program was built; ."))
            .addOption(Flags.withValue("judge", "DIR", "only judges the run of this folder again"))
            .addOption(Flags.simple("final-fault", "ends every run with the loss of all nodes"))
            .addOption(Flags.simple("calm", "does nothing to the system before the end"));
    for (Addition addition : Addition.values()) {
      options.addOption(Flags.simple(addition.option(), addition.description()));
    }
    SoakLoadFlags.addTo(options);
    return options;
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    if (line.hasOption("judge")) {
      return judge(Path.of(line.getOptionValue("judge")));
    }
    List<SoakSettings> runs = settings(line);
    List<Long> broken = new ArrayList<>();
    for (SoakSettings settings : runs) {
      Verdict verdict = run(settings);
      if (!verdict.isKept()) {
        broken.add(settings.seed());
      }
    }
    if (runs.size() > 1) {
      System.out.println(runs.size() + " seeds, not kept: " + broken);
    }
    return broken.isEmpty() ? ExitCode.OK : ExitCode.VIOLATION;
  }

  private static ExitCode judge(Path folder) throws CommandException {
    try {
      Verdict verdict = JudgedRun.judgeAgain(folder);
      verdict.lines().forEach(System.out::println);
      return verdict.isKept() ? ExitCode.OK : ExitCode.VIOLATION;
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static Verdict run(SoakSettings settings) throws CommandException {
    try {
      return SoakRun.run(settings, System.out::println);
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.INVALID, "interrupted");
    }
  }

  /** All that can be wrong is told before anything starts. */
  private static List<SoakSettings> settings(CommandLine line) throws CommandException {
    if (line.hasOption("seed") && line.hasOption("seeds")) {
      throw new CommandException(ExitCode.USAGE, "give --seed or --seeds, not both");
    }
    if (!line.getArgList().isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "what is " + line.getArgList().get(0) + "?");
    }
    long seed = Flags.number(line, "seed", 1, 0, Long.MAX_VALUE);
    SeedRange seeds =
        line.hasOption("seeds")
            ? SeedRange.parse(line.getOptionValue("seeds"))
            : new SeedRange(seed, seed);
    long trafficMillis = Math.round(minutes(line) * MILLIS_PER_MINUTE);
    int nodes = (int) Flags.number(line, "nodes", DEFAULT_NODES, 1, MOST_NODES);
    SoakLoad load = SoakLoadFlags.read(line);
    checkRoom(nodes);
    Path repository = Path.of(Flags.text(line, "repository", ".")).toAbsolutePath().normalize();
    checkBuilt(repository);
    Path out = Path.of(Flags.text(line, "out", "target/soak")).toAbsolutePath();
    List<SoakSettings> runs =
        seeds.stream()
            .mapToObj(
                each ->
                    new SoakSettings(
                        each,
                        nodes,
                        trafficMillis,
                        line.hasOption("final-fault"),
                        line.hasOption("calm"),
                        additions(line),
                        load,
                        repository,
                        out.resolve("seed-" + each)))
            .toList();
    checkFree(runs);
    return runs;
  }

  private static Set<Addition> additions(CommandLine line) {
    return Arrays.stream(Addition.values())
        .filter(addition -> line.hasOption(addition.option()))
        .collect(Collectors.toSet());
  }

  private static double minutes(CommandLine line) throws CommandException {
    String value = line.getOptionValue("minutes");
    if (value == null) {
      return DEFAULT_MINUTES;
    }
    try {
      double minutes = Double.parseDouble(value);
      if (minutes > 0 && minutes <= MOST_MINUTES) {
        return minutes;
      }
    } catch (NumberFormatException e) {
      // Told below, with the range.
    }
    throw new CommandException(
        ExitCode.USAGE, "--minutes must be a number above 0 and at most " + MOST_MINUTES);
  }

  private static void checkRoom(int nodes) throws CommandException {
    Optional<String> shortage =
        MemoryRoom.availableMb().flatMap(available -> MemoryRoom.shortage(nodes, available));
    if (shortage.isPresent()) {
      throw new CommandException(ExitCode.INVALID, shortage.get());
    }
  }

  private static void checkBuilt(Path repository) throws CommandException {
    try {
      RunLine runLine = RunLine.read(repository);
      if (!Files.isRegularFile(repository.resolve(runLine.jar()))) {
        throw new CommandException(
            ExitCode.INVALID,
            repository.resolve(runLine.jar()) + " is not there; build it: " + runLine.build());
      }
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static void checkFree(List<SoakSettings> runs) throws CommandException {
    for (SoakSettings settings : runs) {
      if (Files.exists(settings.folder())) {
        throw new CommandException(
            ExitCode.INVALID, settings.folder() + " is there already; give another --out");
      }
    }
  }
}
