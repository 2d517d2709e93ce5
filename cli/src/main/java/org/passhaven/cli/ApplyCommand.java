package org.passhaven.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Applies a directory of configuration files as a whole. */
final class ApplyCommand implements Command {
  private static final Duration WAIT_LIMIT = Duration.ofSeconds(60);
  private static final Duration POLL = Duration.ofMillis(200);

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "applies configuration files as a whole";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("f", "DIR", "directory of .yaml files"))
        .addOption(OperatorClient.option())
        .addOption(
            Flags.withValue(
                "operator", "NAME", "who applies, told to others; the login name if not given"))
        .addOption(
            Flags.withValue("expect-revision", "N", "refuses if the newest revision is another"))
        .addOption(Flags.simple("wait", "waits until the revision is in force at every live node"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    String directory = Flags.required(line, "f");
    ValidateCommand.parse(directory);
    long expected = Flags.number(line, "expect-revision", -1, 0, Long.MAX_VALUE);
    String operator = Flags.text(line, "operator", System.getProperty("user.name", ""));
    try (OperatorClient client = OperatorClient.of(line)) {
      JsonNode answer =
          client.apply(Files.configuration(directory), operator, expected < 0 ? null : expected);
      long revision = answer.path("revision").asLong();
      System.out.println(
          (answer.path("changed").asBoolean() ? "accepted as revision " : "unchanged at revision ")
              + revision);
      if (line.hasOption("wait")) {
        await(client, revision);
      }
    }
    return ExitCode.OK;
  }

  private static void await(OperatorClient client, long revision) throws CommandException {
    long deadline = System.nanoTime() + WAIT_LIMIT.toNanos();
    String behind = "";
    while (System.nanoTime() < deadline) {
      behind = nodesBehind(client.get("/v1/revisions"), revision);
      if (behind.isEmpty()) {
        System.out.println("in force at every live node");
        return;
      }
      Waiting.await(new CountDownLatch(1), POLL);
    }
    throw new CommandException(ExitCode.UNREACHABLE, "not yet in force at:" + behind);
  }

  private static String nodesBehind(JsonNode revisions, long revision) {
    StringBuilder behind = new StringBuilder();
    for (JsonNode node : revisions.path("nodes")) {
      if (node.path("revision").asLong() < revision) {
        behind.append(' ').append(node.path("node").asText());
      }
    }
    return behind.toString();
  }
}
