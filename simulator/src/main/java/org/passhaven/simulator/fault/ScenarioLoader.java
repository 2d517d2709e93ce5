package org.passhaven.simulator.fault;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/** Reads and writes scenario files. */
public final class ScenarioLoader {
  private static final ObjectMapper YAML =
      YAMLMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .build();
  private static final Validator VALIDATOR =
      Validation.byDefaultProvider()
          .configure()
          .messageInterpolator(new ParameterMessageInterpolator())
          .buildValidatorFactory()
          .getValidator();

  /** A scenario that can't be read, with every error. */
  public static final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the error. */
    public ScenarioException(String message) {
      super(message);
    }
  }

  private ScenarioLoader() {}

  /** A scenario from a file, or a shipped one by its name. */
  public static Scenario load(String fileOrName) throws ScenarioException {
    return parse(fileOrName, text(fileOrName));
  }

  private static String text(String fileOrName) throws ScenarioException {
    Path file = Path.of(fileOrName);
    try {
      if (Files.exists(file)) {
        return Files.readString(file);
      }
      String resource = "scenarios/" + fileOrName + ".yaml";
      try (InputStream in = ScenarioLoader.class.getClassLoader().getResourceAsStream(resource)) {
        if (in == null) {
          throw new ScenarioException(fileOrName + ": no such file, and no shipped scenario");
        }
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
      }
    } catch (IOException e) {
      throw new ScenarioException(fileOrName + ": can't be read");
    }
  }

  private static Scenario parse(String source, String yaml) throws ScenarioException {
    Scenario scenario;
    try {
      scenario = YAML.readValue(yaml, Scenario.class);
    } catch (IOException e) {
      throw new ScenarioException(
          source + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    if (scenario == null) {
      throw new ScenarioException(source + ": is empty");
    }
    List<String> errors =
        VALIDATOR.validate(scenario).stream()
            .map(
                violation ->
                    source + ": " + violation.getPropertyPath() + ": " + violation.getMessage())
            .sorted()
            .toList();
    if (!errors.isEmpty()) {
      throw new ScenarioException(String.join("\n", errors));
    }
    return scenario;
  }

  /** A scenario as a file's text. */
  public static String write(Scenario scenario) {
    try {
      return YAML.writeValueAsString(scenario);
    } catch (IOException e) {
      throw new IllegalStateException("a scenario can't be written", e);
    }
  }
}
