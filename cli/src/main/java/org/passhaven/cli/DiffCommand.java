package org.passhaven.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.protocol.ConfigurationDocument;

/** Shows what applying a directory would change. */
final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String summary() {
    return "shows what applying configuration files would change";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.withValue("f", "DIR", "directory of .yaml files"))
        .addOption(OperatorClient.option());
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    Map<String, String> wanted = new TreeMap<>();
    for (ConfigurationDocument document : ValidateCommand.parse(Flags.required(line, "f"))) {
      wanted.put(document.key(), document.json());
    }
    try (OperatorClient client = OperatorClient.of(line)) {
      JsonNode answer = client.get("/v1/configuration");
      Map<String, String> inForce = new TreeMap<>();
      answer
          .path("documents")
          .forEach(
              document ->
                  inForce.put(document.path("key").asText(), document.path("json").asText()));
      System.out.println("against revision " + answer.path("revision").asLong());
      print(inForce, wanted);
    }
    return ExitCode.OK;
  }

  private static void print(Map<String, String> inForce, Map<String, String> wanted) {
    wanted.forEach(
        (key, json) -> {
          if (!inForce.containsKey(key)) {
            System.out.println("+ " + key + " " + json);
          } else if (!inForce.get(key).equals(json)) {
            System.out.println("- " + key + " " + inForce.get(key));
            System.out.println("+ " + key + " " + json);
          }
        });
    inForce.forEach(
        (key, json) -> {
          if (!wanted.containsKey(key)) {
            System.out.println("- " + key + " " + json);
          }
        });
  }
}
