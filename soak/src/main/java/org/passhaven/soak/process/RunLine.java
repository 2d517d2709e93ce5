package org.passhaven.soak.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;

/**
 * How the project's deploy file builds and runs its program.
 *
 * @param build the line that builds it, for a shell
 * @param role name of the role
 * @param command the program and its arguments
 */
public record RunLine(String build, String role, List<String> command) {
  /** Where the deploy file lies in the repository. */
  public static final String FILE = "deploy/system.toml";

  private static final String JAR_OPTION = "-jar";

  /** Copies. */
  public RunLine {
    command = List.copyOf(command);
  }

  /** Reads the only role of the deploy file of a repository. */
  public static RunLine read(Path repository) throws IOException {
    Path file = repository.resolve(FILE);
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": is not there; start the soak in the repository");
    }
    JsonNode tree = new TomlMapper().readTree(file.toFile());
    JsonNode roles = tree.path("roles");
    if (roles.size() != 1) {
      throw new IOException(file + ": the soak runs one role, and " + roles.size() + " are there");
    }
    Iterator<String> names = roles.fieldNames();
    String role = names.next();
    String run = roles.path(role).path("run").asText();
    if (run.isBlank()) {
      throw new IOException(file + ": roles." + role + ".run is not there");
    }
    return new RunLine(tree.path("build").asText(), role, List.of(run.trim().split(" +")));
  }

  /** The jar that the command names, relative to the repository. */
  public String jar() {
    int option = command.indexOf(JAR_OPTION);
    return option < 0 || option + 1 >= command.size() ? "" : command.get(option + 1);
  }
}
