package org.passhaven.emulator.site;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.util.List;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/**
 * Reads typed YAML files: unknown and double keys are refused, rules are checked, all errors told
 * at once.
 */
public final class CheckedYaml {
  private static final ObjectMapper YAML =
      YAMLMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();
  private static final Validator VALIDATOR =
      Validation.byDefaultProvider()
          .configure()
          .messageInterpolator(new ParameterMessageInterpolator())
          .buildValidatorFactory()
          .getValidator();

  /** A file that can't be taken; the message has a line for each error, with file, key and rule. */
  public static final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the error. */
    public InvalidFileException(String message) {
      super(message);
    }
  }

  private CheckedYaml() {}

  /**
   * Parses and checks a file.
   *
   * @param source name of the file, for errors
   * @throws InvalidFileException with every error found
   */
  public static <T> T parse(String source, String yaml, Class<T> type) throws InvalidFileException {
    T value;
    try {
      value = YAML.readValue(yaml, type);
    } catch (IOException e) {
      throw new InvalidFileException(
          source + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    if (value == null) {
      throw new InvalidFileException(source + ": is empty");
    }
    List<String> errors =
        VALIDATOR.validate(value).stream()
            .map(
                violation ->
                    source + ": " + violation.getPropertyPath() + ": " + violation.getMessage())
            .sorted()
            .toList();
    if (!errors.isEmpty()) {
      throw new InvalidFileException(String.join("\n", errors));
    }
    return value;
  }
}
