package org.passhaven.cli;

import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.node.NodeSettings;
import org.passhaven.node.http.NodeServer;
import org.passhaven.protocol.NodeId;
import org.passhaven.standin.Address;

/** Runs one node until it is told to stop. */
final class NodeCommand implements Command {
  private static final Duration START_LIMIT = Duration.ofSeconds(30);
  private static final long STOP_MARGIN_MILLIS = 2_000;

  @Override
  public String name() {
    return "node";
  }

  @Override
  public String summary() {
    return "runs one node until it gets SIGTERM or SIGINT";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("config", "FILE", "settings file (YAML)"))
        .addOption(Flags.withValue("node", "NAME", "overrides node of the file"))
        .addOption(Flags.withValue("zone", "ZONE", "overrides zone of the file"))
        .addOption(Flags.withValue("address", "HOST:PORT", "overrides address of the file"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    NodeFile file = Files.settings(Flags.required(line, "config"), NodeFile.class);
    NodeSettings settings =
        NodeSettings.defaults(
            new NodeId(Flags.text(line, "node", file.node())),
            Flags.text(line, "zone", file.zone()),
            Flags.text(line, "address", file.address()),
            file.seeds());
    for (String address : java.util.List.of(settings.address(), file.log(), file.machineList())) {
      checkAddress(address);
    }
    Vertx vertx = Vertx.vertx();
    NodeServer server =
        new NodeServer(settings, file.log(), file.machineList(), file.mostBodyBytes());
    start(vertx, server, settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server
                      .drain(file.stopLimitMillis())
                      .onFailure()
                      .recoverWithNull()
                      .await()
                      .atMost(Duration.ofMillis(file.stopLimitMillis() + STOP_MARGIN_MILLIS));
                  vertx.closeAndAwait();
                  stopped.countDown();
                },
                "planned-stop"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }

  private static void checkAddress(String address) throws CommandException {
    try {
      Address.parse(address);
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  private static void start(Vertx vertx, NodeServer server, NodeSettings settings)
      throws CommandException {
    try {
      vertx.deployVerticle(server).await().atMost(START_LIMIT);
    } catch (RuntimeException e) {
      vertx.closeAndAwait();
      throw new CommandException(
          ExitCode.INVALID, "can't listen on " + settings.address() + ": " + e.getMessage());
    }
  }
}
