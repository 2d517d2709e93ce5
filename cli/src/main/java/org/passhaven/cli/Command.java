package org.passhaven.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the program. */
interface Command {
  /** Name on the command line. */
  String name();

  /** One line of help. */
  String summary();

  /** Words after the options, for the help; empty if there are none. */
  default String arguments() {
    return "";
  }

  /** Options beside {@code --help}. */
  Options options();

  /** Runs the command. */
  ExitCode run(CommandLine line) throws CommandException;
}
