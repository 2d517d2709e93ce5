package org.passhaven.soak.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How a process learns that a stop is a suspension: by a file that is there while it is. No signal
 * stops a process's steady clock, so the process takes such stops off its clock itself.
 *
 * @param file the file; the process is told its path as a property
 */
public record Suspension(Path file) {
  /** Property that names the file. */
  static final String PROPERTY = "passhaven.soak.suspension";

  private static final String JAR_OPTION = "-jar";

  /** The next stop is a suspension. */
  void begin() {
    try {
      Files.write(file, new byte[0]);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The next stop is none. */
  void end() {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The command of a program, with the program's steady clock taken from here. */
  public List<String> command(List<String> plain) {
    List<String> command = new ArrayList<>(plain);
    int jar = command.indexOf(JAR_OPTION);
    if (jar < 0 || jar + 1 >= command.size()) {
      throw new IllegalArgumentException("the command runs no jar: " + plain);
    }
    String path = command.get(jar + 1) + java.io.File.pathSeparator + ownClasses();
    command.set(jar, "-cp");
    command.set(jar + 1, path);
    command.add(jar + 2, SuspendableNode.class.getName());
    command.add(jar, "-D" + PROPERTY + "=" + file);
    return command;
  }

  private static Path ownClasses() {
    try {
      return Path.of(
          SuspendableNode.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (java.net.URISyntaxException e) {
      throw new IllegalStateException("where the soak's own classes are is no path", e);
    }
  }
}
