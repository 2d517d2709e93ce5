package org.passhaven.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Builds and reads options. */
final class Flags {
  private Flags() {}

  static Option withValue(String name, String valueName, String description) {
    return Option.builder().longOpt(name).hasArg().argName(valueName).desc(description).get();
  }

  static Option simple(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  static String text(CommandLine line, String name, String otherwise) {
    return line.getOptionValue(name, otherwise);
  }

  static String required(CommandLine line, String name) throws CommandException {
    String value = line.getOptionValue(name);
    if (value == null) {
      throw new CommandException(ExitCode.USAGE, "--" + name + " is needed");
    }
    return value;
  }

  static long number(CommandLine line, String name, long otherwise, long least, long most)
      throws CommandException {
    String value = line.getOptionValue(name);
    if (value == null) {
      return otherwise;
    }
    try {
      long number = Long.parseLong(value);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, with the range.
    }
    throw new CommandException(
        ExitCode.USAGE, "--" + name + " must be a whole number from " + least + " to " + most);
  }
}
