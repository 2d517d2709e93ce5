package org.passhaven.cli;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.passhaven.core.configuration.ConfigurationParser.SourceFile;

/** Reads settings and configuration files, writes reports. */
final class Files {
  private static final ObjectMapper YAML =
      YAMLMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
  private static final Validator VALIDATOR =
      Validation.byDefaultProvider()
          .configure()
          .messageInterpolator(new ParameterMessageInterpolator())
          .buildValidatorFactory()
          .getValidator();

  private Files() {}

  /** Reads and checks a settings file; all errors are told at once. */
  static <T> T settings(String file, Class<T> type) throws CommandException {
    T value;
    try {
      value = YAML.readValue(read(Path.of(file)), type);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.INVALID,
          file + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    if (value == null) {
      throw new CommandException(ExitCode.INVALID, file + ": is empty");
    }
    List<String> errors =
        VALIDATOR.validate(value).stream()
            .map(
                violation ->
                    file + ": " + violation.getPropertyPath() + ": " + violation.getMessage())
            .sorted()
            .toList();
    if (!errors.isEmpty()) {
      throw new CommandException(ExitCode.INVALID, String.join("\n", errors));
    }
    return value;
  }

  /** All YAML files of a directory, by name. */
  static List<SourceFile> configuration(String directory) throws CommandException {
    Path path = Path.of(directory);
    if (!java.nio.file.Files.isDirectory(path)) {
      throw new CommandException(ExitCode.INVALID, directory + ": is not a directory");
    }
    List<Path> files;
    try (Stream<Path> entries = java.nio.file.Files.list(path)) {
      files = entries.filter(entry -> entry.toString().endsWith(".yaml")).sorted().toList();
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, directory + ": can't be read");
    }
    if (files.isEmpty()) {
      throw new CommandException(ExitCode.INVALID, directory + ": holds no .yaml file");
    }
    List<SourceFile> sources = new java.util.ArrayList<>();
    for (Path file : files) {
      sources.add(new SourceFile(file.getFileName().toString(), read(file)));
    }
    return sources;
  }

  private static String read(Path file) throws CommandException {
    try {
      return java.nio.file.Files.readString(file);
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, file + ": can't be read");
    }
  }

  /** Writes a value as indented JSON. */
  static void writeJson(String file, Object value) throws CommandException {
    try {
      java.nio.file.Files.writeString(Path.of(file), JSON.writeValueAsString(value) + "\n");
    } catch (IOException e) {
      throw new CommandException(ExitCode.INVALID, file + ": can't be written");
    }
  }
}
