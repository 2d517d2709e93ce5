package org.passhaven.cli;

import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.simulator.experiment.CapacityStudy;
import org.passhaven.simulator.experiment.Slope;
import org.passhaven.simulator.experiment.SyntheticSite;

/** Measures the slopes of docs/CAPACITY.md, or one run at a size. */
final class CapacityCommand implements Command {
  private static final long MOST_NODES_PER_ZONE = 100;
  private static final long MOST_ENGINES = 10_000;
  private static final long MOST_TRAINERS = 32;
  private static final long MOST_SHARDS = 256;
  private static final long MOST_PROMPTS = 8_192;
  private static final long CONFIGURATION_PERIOD_MILLIS = 32_000;
  private static final long TRAIN_MILLIS = 240_000;

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "measures what each role costs a node, at several sizes or at one";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("json", "FILE", "writes all slopes there"))
        .addOption(
            Flags.withValue(
                "nodes-per-zone", "N", "instead: one run with 13 zones of so many nodes"))
        .addOption(Flags.withValue("engines", "N", "engines of that run; 13 if not given"))
        .addOption(Flags.withValue("trainers", "N", "trainers of that run; 1 if not given"))
        .addOption(Flags.withValue("shards", "N", "shards of each trainer; 1 if not given"))
        .addOption(
            Flags.withValue(
                "prompts", "N", "prompts of a step, with 8 samples each; 8 if not given"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    try {
      if (line.hasOption("nodes-per-zone")) {
        return runOnce(line);
      }
      List<Slope> slopes = CapacityStudy.measureAll();
      slopes.forEach(CapacityCommand::print);
      if (line.hasOption("json")) {
        Files.writeJson(line.getOptionValue("json"), slopes);
      }
      return ExitCode.OK;
    } catch (ConfigurationException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static ExitCode runOnce(CommandLine line)
      throws CommandException, ConfigurationException {
    SyntheticSite site =
        new SyntheticSite(
            13,
            (int) Flags.number(line, "nodes-per-zone", 1, 1, MOST_NODES_PER_ZONE),
            (int) Flags.number(line, "engines", 13, 1, MOST_ENGINES),
            (int) Flags.number(line, "trainers", 1, 0, MOST_TRAINERS),
            (int) Flags.number(line, "shards", 1, 1, MOST_SHARDS),
            (int) Flags.number(line, "prompts", 8, 1, MOST_PROMPTS),
            8,
            TRAIN_MILLIS,
            0,
            0,
            100);
    CapacityStudy.Cost cost =
        CapacityStudy.measure(site, CONFIGURATION_PERIOD_MILLIS, host -> true);
    System.out.printf(
        Locale.ROOT,
        "a node: %.0f B/s control, %.1f messages/s, %.2f ms/s processor, %.0f KB (engines and load included)%n",
        cost.bytesPerSecond(),
        cost.messagesPerSecond(),
        cost.cpuMillisPerSecond(),
        cost.kilobytes());
    return ExitCode.OK;
  }

  private static void print(Slope slope) {
    StringBuilder points = new StringBuilder();
    slope
        .points()
        .forEach(
            point ->
                points.append(
                    String.format(Locale.ROOT, " %.0f:%.3f", point.size(), point.value())));
    System.out.printf(
        Locale.ROOT,
        "%-70s %.4f + %.6f x %s [%s], error %.1f%%;%s%n",
        slope.cost(),
        slope.intercept(),
        slope.slope(),
        slope.variable(),
        slope.unit(),
        slope.largestError() * 100,
        points);
  }
}
