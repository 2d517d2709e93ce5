package org.passhaven.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows what a node knows of itself and of the others. */
final class StatusCommand implements Command {
  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "shows nodes, revisions and owned shards as one node sees them";
  }

  @Override
  public Options options() {
    return new Options().addOption(OperatorClient.option());
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    try (OperatorClient client = OperatorClient.of(line)) {
      JsonNode status = client.get("/v1/status");
      printMember(status.path("self"));
      status.path("others").forEach(StatusCommand::printMember);
      System.out.println("owned shards: " + status.path("ownedShards"));
      System.out.println("ready: " + status.path("ready").asBoolean());
    }
    return ExitCode.OK;
  }

  private static void printMember(JsonNode member) {
    System.out.println(
        member.path("node").asText()
            + " "
            + member.path("zone").asText()
            + " "
            + member.path("address").asText()
            + " "
            + member.path("status").asText()
            + " revision "
            + member.path("revision").asLong());
  }
}
