package org.passhaven.cli;

import java.util.Objects;

/** A command that ends with a message and an exit code. */
final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;
  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = Objects.requireNonNull(exitCode, "exitCode");
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
