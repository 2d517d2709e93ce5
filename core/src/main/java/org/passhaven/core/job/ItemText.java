package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Text of one item as far as it is generated: its events, and the weight version that made each.
 * Not thread-safe.
 */
public final class ItemText {
  private static final String SEPARATOR = "\n";
  private final List<String> events = new ArrayList<>();
  private final List<Long> versionByEvent = new ArrayList<>();
  private boolean whole;

  /** Takes the next event; false if it is not the next one. */
  boolean append(long event, long version, String data) {
    if (event != lastEvent() + 1) {
      return false;
    }
    events.add(data);
    versionByEvent.add(version);
    return true;
  }

  /** Replaces what is known behind the part's first event; false if there is a gap before it. */
  boolean replaceBehind(TextPart part) {
    if (part.afterEvent() > lastEvent() || part.afterEvent() < 0) {
      return false;
    }
    int kept = (int) part.afterEvent();
    events.subList(kept, events.size()).clear();
    versionByEvent.subList(kept, versionByEvent.size()).clear();
    events.addAll(part.events());
    versionByEvent.addAll(part.versions());
    whole = part.isWhole();
    return true;
  }

  /** Events behind {@code afterEvent}, for the log. */
  TextPart partBehind(long afterEvent, String job, String item, boolean isWhole) {
    int from = (int) afterEvent;
    return new TextPart(
        job,
        item,
        afterEvent,
        events.subList(from, events.size()),
        versionByEvent.subList(from, events.size()),
        isWhole);
  }

  long lastEvent() {
    return events.size();
  }

  boolean isEmpty() {
    return events.isEmpty();
  }

  /** Whether the text was read from the log as complete. */
  boolean isWhole() {
    return whole;
  }

  String data() {
    return String.join(SEPARATOR, events);
  }

  /** Versions that made the text, rising, each once. */
  List<Long> versions() {
    return new ArrayList<>(new TreeSet<>(versionByEvent));
  }

  /** Whether all of the text was made by allowed versions. */
  boolean fits(long oldestVersion, boolean singleVersion) {
    if (isEmpty()) {
      return true;
    }
    List<Long> made = versions();
    return made.get(0) >= oldestVersion && (!singleVersion || made.size() == 1);
  }
}
