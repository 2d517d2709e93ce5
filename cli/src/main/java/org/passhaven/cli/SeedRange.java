package org.passhaven.cli;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

/**
 * Seeds from one to another, both included.
 *
 * @param first the least
 * @param last the greatest
 */
record SeedRange(long first, long last) {
  private static final Pattern RANGE = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");

  /** Reads {@code A..B}. */
  static SeedRange parse(String text) throws CommandException {
    Matcher matcher = RANGE.matcher(text);
    if (!matcher.matches()) {
      throw new CommandException(
          ExitCode.USAGE, "--seeds must be two whole numbers as in 1..50, not " + text);
    }
    SeedRange range =
        new SeedRange(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)));
    if (range.first > range.last) {
      throw new CommandException(
          ExitCode.USAGE, "--seeds is reversed: " + text + "; the lesser seed stands first");
    }
    return range;
  }

  LongStream stream() {
    return LongStream.rangeClosed(first, last);
  }
}
