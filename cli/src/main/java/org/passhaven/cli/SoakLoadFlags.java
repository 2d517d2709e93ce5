package org.passhaven.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.passhaven.soak.run.SoakLoad;

/** The options that say how much a soak asks of the system. */
final class SoakLoadFlags {
  private static final long MOST = 1_000_000;

  private SoakLoadFlags() {}

  static void addTo(Options options) {
    options
        .addOption(Flags.withValue("load", "NAME", "small or large; small if not given"))
        .addOption(Flags.withValue("trainers", "N", "trainers, each with its model servers"))
        .addOption(Flags.withValue("groups", "N", "groups of a job"))
        .addOption(Flags.withValue("items", "N", "items of a group"))
        .addOption(Flags.withValue("ahead", "N", "jobs that a trainer has open at once"))
        .addOption(Flags.withValue("body-bytes", "N", "size of an item's body"))
        .addOption(Flags.withValue("event-chars", "N", "size of one event of a text"))
        .addOption(Flags.withValue("callers", "N", "callers of plain requests"))
        .addOption(Flags.withValue("status-seconds", "N", "how long ended jobs must be readable"))
        .addOption(
            Flags.withValue("store-age-seconds", "N", "age after which the store drops records"))
        .addOption(
            Flags.withValue("store-link-mbit", "N", "Mbit/s of a node's way to the store; 0: any"))
        .addOption(Flags.withValue("store-read-mb", "N", "MB/s that all reads of the store share"))
        .addOption(
            Flags.withValue("recover-seconds", "N", "calm after which a node must know all jobs"));
  }

  static SoakLoad read(CommandLine line) throws CommandException {
    SoakLoad base = named(Flags.text(line, "load", "small"));
    return new SoakLoad(
        number(line, "trainers", base.trainers(), 1),
        number(line, "groups", base.groups(), 1),
        number(line, "items", base.itemsAGroup(), 1),
        number(line, "ahead", base.ahead(), 1),
        number(line, "body-bytes", base.bodyBytes(), 1),
        number(line, "event-chars", base.eventCharacters(), 1),
        number(line, "callers", base.callers(), 0),
        number(line, "status-seconds", base.statusSeconds(), 1),
        number(line, "store-age-seconds", base.storeAgeSeconds(), 1),
        number(line, "store-link-mbit", (long) base.storeLinkMegabits(), 0),
        number(line, "store-read-mb", (long) base.storeReadMegabytes(), 1),
        number(line, "recover-seconds", base.recoverSeconds(), 1));
  }

  private static SoakLoad named(String name) throws CommandException {
    return switch (name) {
      case "small" -> SoakLoad.small();
      case "large" -> SoakLoad.large();
      default ->
          throw new CommandException(ExitCode.USAGE, "--load must be small or large, not " + name);
    };
  }

  private static int number(CommandLine line, String name, long otherwise, long least)
      throws CommandException {
    return (int) Flags.number(line, name, otherwise, least, MOST);
  }
}
