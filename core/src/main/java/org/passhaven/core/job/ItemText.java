package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Generated text of one item: its events so far and the weight version that generated each. Not
 * thread-safe.
 */
public final class ItemText {
  private static final String SEPARATOR = "\n";
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private final List<String> events = new ArrayList<>();
  private final List<Long> versionByEvent = new ArrayList<>();

  /** Rolling hash of the text up to each event. */
  private final List<Long> hashByEvent = new ArrayList<>();

  private boolean complete;

  /** Appends an event; returns false if its number is not the next one. */
  boolean append(long event, long version, String data) {
    if (event != lastEvent() + 1) {
      return false;
    }
    add(data, version);
    return true;
  }

  private void add(String data, long version) {
    hashByEvent.add(hash(hashUpTo(lastEvent()), data, version));
    events.add(data);
    versionByEvent.add(version);
  }

  /** Returns the hash of a text whose part before the last event has the hash {@code before}. */
  private static long hash(long before, String data, long version) {
    return (before * HASH_MULTIPLIER + version) * HASH_MULTIPLIER + HASH.hashChars(data);
  }

  private long hashUpTo(long event) {
    return event == 0 ? 0 : hashByEvent.get((int) event - 1);
  }

  /**
   * Replaces all events after {@code part.afterEvent()} by those of the part. Returns false if
   * there is a gap before the part, or if it continues a different text.
   */
  boolean replaceAfter(TextPart part) {
    boolean isGap = part.afterEvent() > lastEvent() || part.afterEvent() < 0;
    if (isGap || hashUpTo(part.afterEvent()) != part.beforeHash()) {
      return false;
    }
    int keptEvents = (int) part.afterEvent();
    events.subList(keptEvents, events.size()).clear();
    versionByEvent.subList(keptEvents, versionByEvent.size()).clear();
    hashByEvent.subList(keptEvents, hashByEvent.size()).clear();
    for (int i = 0; i < part.events().size(); i++) {
      add(part.events().get(i), part.versions().get(i));
    }
    complete = part.isWhole();
    return true;
  }

  /** Returns the events after {@code afterEvent} as a part for the log. */
  TextPart partAfter(long afterEvent, String job, String item, boolean isComplete) {
    int from = (int) afterEvent;
    return new TextPart(
        job,
        item,
        afterEvent,
        hashUpTo(afterEvent),
        events.subList(from, events.size()),
        versionByEvent.subList(from, events.size()),
        isComplete);
  }

  /**
   * Splits a part between events into pieces of at most {@code maxChars} characters, unless a
   * single event is longer. Each event counts {@code eventChars} more than its length.
   */
  public static List<TextPart> split(TextPart part, long maxChars, int eventChars) {
    List<TextPart> pieces = new ArrayList<>();
    int from = 0;
    long chars = 0;
    long beforeHash = part.beforeHash();
    long reachedHash = beforeHash;
    for (int event = 0; event < part.events().size(); event++) {
      String data = part.events().get(event);
      long addedChars = (long) data.length() + eventChars;
      if (event > from && chars + addedChars > maxChars) {
        pieces.add(slice(part, from, event, beforeHash));
        from = event;
        chars = 0;
        beforeHash = reachedHash;
      }
      chars += addedChars;
      reachedHash = hash(reachedHash, data, part.versions().get(event));
    }
    pieces.add(slice(part, from, part.events().size(), beforeHash));
    return pieces;
  }

  private static TextPart slice(TextPart part, int from, int to, long beforeHash) {
    return new TextPart(
        part.job(),
        part.item(),
        part.afterEvent() + from,
        beforeHash,
        part.events().subList(from, to),
        part.versions().subList(from, to),
        part.isWhole() && to == part.events().size());
  }

  long lastEvent() {
    return events.size();
  }

  boolean isEmpty() {
    return events.isEmpty();
  }

  /** Returns whether the text was read from the log as complete. */
  boolean isComplete() {
    return complete;
  }

  String data() {
    return String.join(SEPARATOR, events);
  }

  /** Returns the distinct weight versions of the text in ascending order. */
  List<Long> versions() {
    return new ArrayList<>(new TreeSet<>(versionByEvent));
  }

  /** Returns whether allowed weight versions generated all of the text. */
  boolean usesAllowedVersions(long oldestVersion, boolean singleVersion) {
    if (isEmpty()) {
      return true;
    }
    List<Long> versions = versions();
    return versions.get(0) >= oldestVersion && (!singleVersion || versions.size() == 1);
  }
}
