package org.passhaven.soak.check;

import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.Hashes;
import org.passhaven.platform.standin.server.ItemScript;

/**
 * What the checks need of the text of a result, in few bytes.
 *
 * @param hash of the text
 * @param eventCount its events
 * @param versions those under which its events were made, ascending
 * @param fault what is wrong with it in itself; empty if each line is the event of its place
 */
public record TextDigest(long hash, int eventCount, List<Long> versions, String fault) {
  private static final String SEPARATOR = ";";
  private static final int PARTS = 4;
  private static final Pattern MADE = Pattern.compile("(.*)\\.(\\d+)\\.v(\\d+)\\..*");

  /** Copies. */
  public TextDigest {
    versions = List.copyOf(versions);
  }

  /** Digest of an item's text, whose events have so many characters. */
  public static TextDigest of(String item, String text, int eventCharacters) {
    List<String> lines = text.isEmpty() ? List.of() : Arrays.asList(text.split("\n", -1));
    TreeSet<Long> versions = new TreeSet<>();
    String fault = "";
    for (int i = 0; i < lines.size() && fault.isEmpty(); i++) {
      Matcher made = MADE.matcher(lines.get(i));
      if (!made.matches()) {
        fault = "line " + (i + 1) + " is no event";
        continue;
      }
      long version = Long.parseLong(made.group(3));
      versions.add(version);
      if (!lines.get(i).equals(ItemScript.text(item, i + 1, version, eventCharacters))) {
        fault = "line " + (i + 1) + " isn't that event: " + made.group(1) + "." + made.group(2);
      }
    }
    return new TextDigest(Hashes.of(text), lines.size(), List.copyOf(versions), fault);
  }

  /** Written as one line; {@link #parse} reads it. */
  public String format() {
    String all = versions.stream().map(Object::toString).collect(Collectors.joining(","));
    return String.join(SEPARATOR, Long.toHexString(hash), "" + eventCount, all, fault);
  }

  /** Reads what {@link #format} wrote. */
  public static TextDigest parse(String line) {
    String[] parts = line.split(SEPARATOR, PARTS);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("no digest of a text: " + line);
    }
    List<Long> versions =
        parts[2].isEmpty()
            ? List.of()
            : Arrays.stream(parts[2].split(",")).map(Long::parseLong).toList();
    return new TextDigest(
        Long.parseUnsignedLong(parts[0], 16), Integer.parseInt(parts[1]), versions, parts[3]);
  }
}
