package org.passhaven.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.protocol.ConfigurationDocument;

/** Checks a directory of configuration files without a node. */
final class ValidateCommand implements Command {
  @Override
  public String name() {
    return "validate";
  }

  @Override
  public String summary() {
    return "checks configuration files; tells every error";
  }

  @Override
  public Options options() {
    return new Options().addOption(Flags.withValue("f", "DIR", "directory of .yaml files"));
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    List<ConfigurationDocument> documents = parse(Flags.required(line, "f"));
    System.out.println(documents.size() + " documents are valid");
    return ExitCode.OK;
  }

  static List<ConfigurationDocument> parse(String directory) throws CommandException {
    try {
      return new ConfigurationParser().parse(Files.configuration(directory));
    } catch (ConfigurationException e) {
      throw new CommandException(ExitCode.INVALID, String.join("\n", e.errors()));
    }
  }
}
