package org.passhaven.cli;

import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.emulator.check.Report;
import org.passhaven.emulator.http.Emulator;
import org.passhaven.emulator.http.EmulatorSettings;
import org.passhaven.emulator.site.Site;
import org.passhaven.node.NodeSettings;
import org.passhaven.node.configuration.ConfigurationAgent.ApplyResult;
import org.passhaven.node.http.NodeServer;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.NodeId;

/**
 * The main job in one process: emulated platform, one node in each zone, load, verdict; over
 * loopback TCP.
 */
final class QuickstartCommand implements Command {
  private static final String HOST = "127.0.0.1";
  private static final Duration START_LIMIT = Duration.ofSeconds(30);
  private static final Duration APPLY_LIMIT = Duration.ofSeconds(10);
  private static final Duration RUN_LIMIT = Duration.ofMinutes(2);
  private static final long PROGRESS_MILLIS = 2_000;
  private static final long APPLY_RETRY_MILLIS = 200;
  private static final int PORTS_PER_RUN = 64;
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 30_000;
  private static final long DEFAULT_STEPS = 4;
  private static final long MOST_STEPS = 1_000;
  private static final long DEFAULT_SCALE = 10;
  private static final long MOST_SCALE = 100;

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public String summary() {
    return "runs a whole emulated site in one process and judges it";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("site", "NAME", "necpa or bensalah; necpa if not given"))
        .addOption(Flags.withValue("seed", "N", "seed of the load; 1 if not given"))
        .addOption(Flags.withValue("steps", "N", "training steps; 4 if not given"))
        .addOption(
            Flags.withValue(
                "time-scale",
                "N",
                "how much faster than life engines and trainers run; 10 if not given"))
        .addOption(Flags.withValue("json", "FILE", "writes the report there"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    String name = Flags.text(line, "site", "necpa");
    Site site = Sites.shipped(name);
    long seed = Flags.number(line, "seed", 1, 0, Long.MAX_VALUE);
    int steps = (int) Flags.number(line, "steps", DEFAULT_STEPS, 1, MOST_STEPS);
    int scale = (int) Flags.number(line, "time-scale", DEFAULT_SCALE, 1, MOST_SCALE);
    List<ConfigurationDocument> configuration = parse(name);
    int basePort = freePorts();
    List<String> addresses = new ArrayList<>();
    int nodeCount = site.zones().size() * site.nodesPerZone();
    for (int index = 0; index < nodeCount; index++) {
      addresses.add(HOST + ":" + (basePort + index));
    }
    Emulator emulator =
        new Emulator(
            site, new EmulatorSettings(HOST, basePort + nodeCount, scale, steps, seed, addresses));
    System.out.println(
        "site "
            + name
            + ": "
            + nodeCount
            + " nodes, engines and trainers run "
            + scale
            + " times faster than life");
    Vertx vertx = Vertx.vertx();
    try {
      Report report = run(vertx, emulator, site, addresses, configuration);
      if (line.hasOption("json")) {
        Files.writeJson(line.getOptionValue("json"), report);
      }
      return ReportTable.print(report, true);
    } finally {
      vertx.closeAndAwait();
    }
  }

  private static Report run(
      Vertx vertx,
      Emulator emulator,
      Site site,
      List<String> addresses,
      List<ConfigurationDocument> configuration)
      throws CommandException {
    vertx.deployVerticle(emulator).await().atMost(START_LIMIT);
    List<NodeServer> servers = new ArrayList<>();
    for (int index = 0; index < addresses.size(); index++) {
      NodeSettings settings =
          NodeSettings.defaults(
              new NodeId("node-" + index), site.zoneOf(index), addresses.get(index), List.of());
      NodeServer server =
          new NodeServer(
              settings,
              emulator.logAddress(),
              emulator.machineListAddress(),
              NodeFile.DEFAULT_MOST_BODY_BYTES);
      servers.add(server);
      vertx.deployVerticle(server).await().atMost(START_LIMIT);
    }
    long revision = apply(servers.get(0), configuration);
    System.out.println("configuration revision " + revision + " is accepted");
    CountDownLatch done = new CountDownLatch(1);
    emulator.startLoad(done::countDown);
    long progress =
        vertx.setPeriodic(
            PROGRESS_MILLIS,
            ignored ->
                System.out.println("samples delivered so far: " + emulator.checker().delivered()));
    boolean finished = Waiting.await(done, RUN_LIMIT);
    vertx.cancelTimer(progress);
    if (!finished) {
      ReportTable.print(emulator.report(), false);
      throw new CommandException(
          ExitCode.VIOLATION, "the run did not finish within " + RUN_LIMIT.toSeconds() + " s");
    }
    return emulator.report();
  }

  private static long apply(NodeServer server, List<ConfigurationDocument> documents)
      throws CommandException {
    long deadline = System.nanoTime() + APPLY_LIMIT.toNanos();
    while (System.nanoTime() < deadline) {
      ApplyResult result = server.apply(documents, "quickstart").await().atMost(APPLY_LIMIT);
      if (result instanceof ApplyResult.Accepted accepted) {
        return accepted.revision();
      }
      Waiting.await(new CountDownLatch(1), Duration.ofMillis(APPLY_RETRY_MILLIS));
    }
    throw new CommandException(ExitCode.UNREACHABLE, "the configuration was not accepted in time");
  }

  private static List<ConfigurationDocument> parse(String site) throws CommandException {
    try {
      return new ConfigurationParser()
          .parse(
              List.of(
                  new ConfigurationParser.SourceFile(
                      site + "/configuration.yaml", Sites.configuration(site))));
    } catch (ConfigurationException e) {
      throw new CommandException(ExitCode.INVALID, String.join("\n", e.errors()));
    }
  }

  /** First of a run of ports that are free now. */
  private static int freePorts() throws CommandException {
    for (int base = FIRST_PORT; base < LAST_PORT; base += PORTS_PER_RUN) {
      if (areFree(base)) {
        return base;
      }
    }
    throw new CommandException(
        ExitCode.UNREACHABLE, "no free ports from " + FIRST_PORT + " to " + LAST_PORT);
  }

  private static boolean areFree(int base) {
    for (int port = base; port < base + PORTS_PER_RUN; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        socket.setReuseAddress(true);
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
