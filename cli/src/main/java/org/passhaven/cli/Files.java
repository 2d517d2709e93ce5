package org.passhaven.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.passhaven.core.configuration.ConfigurationParser.SourceFile;
import org.passhaven.emulator.site.CheckedYaml;

/** Reads settings and configuration files, writes reports. */
final class Files {
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  private Files() {}

  /** Reads and checks a settings file; all errors are told at once. */
  static <T> T settings(String file, Class<T> type) throws CommandException {
    try {
      return CheckedYaml.parse(file, read(Path.of(file)), type);
    } catch (CheckedYaml.InvalidFileException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
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
