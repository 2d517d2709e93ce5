package org.passhaven.simulator.fault;

import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.passhaven.emulator.site.CheckedYaml;
import org.passhaven.emulator.site.CheckedYaml.InvalidFileException;

/** Reads and writes scenario files. */
public final class ScenarioLoader {
  private static final YAMLMapper WRITER =
      YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).build();

  private ScenarioLoader() {}

  /** A scenario from a file, or a shipped one by its name. */
  public static Scenario load(String fileOrName) throws InvalidFileException {
    return CheckedYaml.parse(fileOrName, text(fileOrName), Scenario.class);
  }

  private static String text(String fileOrName) throws InvalidFileException {
    try {
      Path file = Path.of(fileOrName);
      return Files.exists(file) ? Files.readString(file) : shipped(fileOrName);
    } catch (IOException e) {
      throw new InvalidFileException(fileOrName + ": can't be read");
    }
  }

  private static String shipped(String name) throws IOException, InvalidFileException {
    String resource = "scenarios/" + name + ".yaml";
    try (InputStream in = ScenarioLoader.class.getClassLoader().getResourceAsStream(resource)) {
      if (in == null) {
        throw new InvalidFileException(name + ": no such file, and no shipped scenario");
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** A scenario as a file's text. */
  public static String write(Scenario scenario) {
    try {
      return WRITER.writeValueAsString(scenario);
    } catch (IOException e) {
      throw new IllegalStateException("a scenario can't be written", e);
    }
  }
}
