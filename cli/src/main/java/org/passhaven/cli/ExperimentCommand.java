package org.passhaven.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.UnaryOperator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.routing.DispatchPolicy;
import org.passhaven.emulator.check.Report;
import org.passhaven.emulator.site.CheckedYaml.InvalidFileException;
import org.passhaven.node.NodeSettings;
import org.passhaven.simulator.experiment.Shrinker;
import org.passhaven.simulator.experiment.Simulation;
import org.passhaven.simulator.fault.Fault;
import org.passhaven.simulator.fault.Scenario;
import org.passhaven.simulator.fault.ScenarioLoader;

/** Runs a scenario in virtual time over one seed or many. */
final class ExperimentCommand implements Command {
  private static final int MOST_THREADS = 8;

  /** Reports of all seeds, in order. */
  record Results(String scenario, String policy, List<Report> reports) {}

  @Override
  public String name() {
    return "experiment";
  }

  @Override
  public String summary() {
    return "runs a scenario with the production nodes in virtual time";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(
            Flags.withValue("scenario", "FILE", "scenario file, or the name of a shipped one"))
        .addOption(Flags.withValue("site", "NAME", "overrides the scenario's site"))
        .addOption(Flags.withValue("seed", "N", "one seed; 1 if not given"))
        .addOption(Flags.withValue("seeds", "A..B", "all seeds from A to B"))
        .addOption(Flags.withValue("policy", "NAME", "default or baseline"))
        .addOption(
            Flags.withValue("threads", "N", "seeds that run at the same time; 4 if not given"))
        .addOption(Flags.withValue("json", "FILE", "writes all reports there"))
        .addOption(Flags.simple("shrink", "shortens the faults of the first failing seed"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    Scenario scenario = load(line);
    String policy = Flags.text(line, "policy", "default");
    if (!policy.equals("default") && !policy.equals("baseline")) {
      throw new CommandException(ExitCode.USAGE, "--policy must be default or baseline");
    }
    List<Long> seeds = seeds(line);
    int threads = (int) Flags.number(line, "threads", 4, 1, MOST_THREADS);
    List<Report> reports = runAll(scenario, policy, seeds, threads);
    if (line.hasOption("json")) {
      Files.writeJson(line.getOptionValue("json"), new Results(scenario.name(), policy, reports));
    }
    if (reports.size() == 1) {
      return ReportTable.print(reports.get(0), true);
    }
    return summarize(line, scenario, policy, reports);
  }

  private static Scenario load(CommandLine line) throws CommandException {
    try {
      Scenario scenario = ScenarioLoader.load(Flags.required(line, "scenario"));
      String site = Flags.text(line, "site", scenario.site());
      return new Scenario(
          scenario.name(),
          site,
          scenario.steps(),
          scenario.faults(),
          scenario.randomFaults(),
          scenario.configurationPeriodMillis());
    } catch (InvalidFileException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static List<Long> seeds(CommandLine line) throws CommandException {
    if (!line.hasOption("seeds")) {
      return List.of(Flags.number(line, "seed", 1, 0, Long.MAX_VALUE));
    }
    String[] ends = line.getOptionValue("seeds").split("\\.\\.", -1);
    List<Long> seeds = new ArrayList<>();
    try {
      for (long seed = Long.parseLong(ends[0]); seed <= Long.parseLong(ends[1]); seed++) {
        seeds.add(seed);
      }
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      throw new CommandException(ExitCode.USAGE, "--seeds must be A..B");
    }
    if (seeds.isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "--seeds must be A..B with A not above B");
    }
    return seeds;
  }

  private static List<Report> runAll(
      Scenario scenario, String policy, List<Long> seeds, int threads) throws CommandException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<Report>> running = new ArrayList<>();
      for (long seed : seeds) {
        running.add(pool.submit(() -> simulate(scenario, seed, policy)));
      }
      List<Report> reports = new ArrayList<>();
      for (Future<Report> future : running) {
        reports.add(future.get());
      }
      return reports;
    } catch (ExecutionException e) {
      throw new CommandException(ExitCode.INVALID, "a run failed: " + e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted");
    } finally {
      pool.shutdownNow();
    }
  }

  private static Report simulate(Scenario scenario, long seed, String policy)
      throws InvalidFileException, ConfigurationException {
    return new Simulation(scenario, seed, policy, nodeSettings(policy)).run();
  }

  private static UnaryOperator<NodeSettings> nodeSettings(String policy) {
    DispatchPolicy chosen = DispatchPolicy.valueOf(policy.toUpperCase(Locale.ROOT));
    return settings -> settings.withDispatchPolicy(chosen);
  }

  private static ExitCode summarize(
      CommandLine line, Scenario scenario, String policy, List<Report> reports)
      throws CommandException {
    List<Report> bad = reports.stream().filter(report -> report.violations() > 0).toList();
    System.out.println(reports.size() + " seeds, " + bad.size() + " with broken promises");
    System.out.println(
        "idle fraction "
            + spread(reports.stream().mapToDouble(Report::trainerIdleFraction).toArray()));
    System.out.println(
        "oracle idle    "
            + spread(reports.stream().mapToDouble(Report::oracleIdleFraction).toArray()));
    System.out.println(
        "staleness mean " + spread(reports.stream().mapToDouble(Report::stalenessMean).toArray()));
    System.out.println(
        "lookup p99 ms " + spread(reports.stream().mapToDouble(Report::lookupP99Millis).toArray()));
    System.out.println(
        "in force ms "
            + spread(reports.stream().mapToDouble(Report::revisionInForceMillis).toArray()));
    for (Report report : bad) {
      System.out.println("seed " + report.seed() + ": " + broken(report));
      System.out.println(
          "  bin/passhaven experiment --scenario "
              + line.getOptionValue("scenario")
              + " --site "
              + report.site()
              + " --seed "
              + report.seed());
    }
    if (line.hasOption("shrink") && !bad.isEmpty()) {
      printShrunk(scenario, policy, bad.get(0).seed());
    }
    return bad.isEmpty() ? ExitCode.OK : ExitCode.VIOLATION;
  }

  private static String broken(Report report) {
    StringBuilder text = new StringBuilder();
    append(text, "samples_missing", report.samplesMissing());
    append(text, "samples_duplicated", report.samplesDuplicated());
    append(text, "samples_over_bound", report.samplesOverBound());
    append(text, "samples_misversioned", report.samplesMisversioned());
    append(text, "requests_misanswered", report.requestsMisanswered());
    append(text, "requests_rerun", report.requestsRerun());
    append(text, "refused_but_run", report.refusedButRun());
    append(text, "streams_cut", report.streamsCut());
    append(text, "work_after_leave", report.workAfterLeave());
    append(text, "revision_reverts", report.revisionReverts());
    return text.toString();
  }

  private static void append(StringBuilder text, String key, long value) {
    if (value > 0) {
      text.append(key).append(' ').append(value).append(' ');
    }
  }

  private static String spread(double[] values) {
    double[] sorted = values.clone();
    java.util.Arrays.sort(sorted);
    return "median "
        + sorted[sorted.length / 2]
        + ", from "
        + sorted[0]
        + " to "
        + sorted[sorted.length - 1];
  }

  private static void printShrunk(Scenario scenario, String policy, long seed)
      throws CommandException {
    try {
      List<Fault> faults = new Simulation(scenario, seed, policy, nodeSettings(policy)).faults();
      List<Fault> shrunk =
          Shrinker.shrink(faults, candidate -> fails(scenario.withFaults(candidate), seed, policy));
      System.out.println(
          "seed "
              + seed
              + " still fails with:\n"
              + ScenarioLoader.write(scenario.withFaults(shrunk)));
    } catch (InvalidFileException | ConfigurationException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static boolean fails(Scenario scenario, long seed, String policy) {
    try {
      return simulate(scenario, seed, policy).violations() > 0;
    } catch (InvalidFileException | ConfigurationException e) {
      throw new IllegalStateException(e);
    }
  }
}
