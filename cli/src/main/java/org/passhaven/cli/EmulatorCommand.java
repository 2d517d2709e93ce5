package org.passhaven.cli;

import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.emulator.check.Report;
import org.passhaven.emulator.http.Emulator;

/** Runs the emulated platform and its load against nodes in other processes. */
final class EmulatorCommand implements Command {
  private static final Duration START_LIMIT = Duration.ofSeconds(30);
  private static final long DEFAULT_LIMIT_SECONDS = 300;
  private static final long MOST_LIMIT_SECONDS = 86_400;
  private static final long MOST_DELAY_SECONDS = 600;

  @Override
  public String name() {
    return "emulator";
  }

  @Override
  public String summary() {
    return "runs the emulated platform with its load, and judges the run";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("config", "FILE", "settings file (YAML)"))
        .addOption(
            Flags.withValue("delay", "SECONDS", "time before the load begins; 5 if not given"))
        .addOption(Flags.withValue("limit", "SECONDS", "longest time of the run; 300 if not given"))
        .addOption(Flags.withValue("json", "FILE", "writes the report there"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    EmulatorFile file = Files.settings(Flags.required(line, "config"), EmulatorFile.class);
    long delay = Flags.number(line, "delay", 5, 0, MOST_DELAY_SECONDS);
    long limit = Flags.number(line, "limit", DEFAULT_LIMIT_SECONDS, 1, MOST_LIMIT_SECONDS);
    Vertx vertx = Vertx.vertx();
    Emulator emulator = new Emulator(Sites.shipped(file.site()), file.emulator());
    vertx.deployVerticle(emulator).await().atMost(START_LIMIT);
    System.out.println(
        "log " + emulator.logAddress() + ", machine list " + emulator.machineListAddress());
    CountDownLatch done = new CountDownLatch(1);
    vertx.setTimer(
        Math.max(1, TimeUnit.SECONDS.toMillis(delay)),
        ignored -> emulator.startLoad(done::countDown));
    boolean finished = Waiting.await(done, Duration.ofSeconds(limit));
    Report report = emulator.report();
    vertx.closeAndAwait();
    if (line.hasOption("json")) {
      Files.writeJson(line.getOptionValue("json"), report);
    }
    return ReportTable.print(report, finished);
  }
}
