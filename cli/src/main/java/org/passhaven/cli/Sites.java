package org.passhaven.cli;

import org.passhaven.emulator.site.CheckedYaml.InvalidFileException;
import org.passhaven.emulator.site.Site;
import org.passhaven.emulator.site.SiteLoader;

/** Shipped sites with this layer's errors. */
final class Sites {
  private Sites() {}

  static Site shipped(String name) throws CommandException {
    try {
      return SiteLoader.shipped(name);
    } catch (InvalidFileException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }

  static String configuration(String name) throws CommandException {
    try {
      return SiteLoader.shippedConfiguration(name);
    } catch (InvalidFileException e) {
      throw new CommandException(ExitCode.INVALID, e.getMessage());
    }
  }
}
