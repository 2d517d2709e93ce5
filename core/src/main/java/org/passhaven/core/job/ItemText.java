package org.passhaven.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.passhaven.protocol.job.JobRecord.ItemProgress;

/** Text of one item as far as it is generated. Not thread-safe. */
final class ItemText {
  private final StringBuilder data = new StringBuilder();
  private final TreeSet<Long> versions = new TreeSet<>();
  private long lastEvent;

  /** Takes the next event; false if it is not the next one. */
  boolean append(long event, long version, String text) {
    if (event != lastEvent + 1) {
      return false;
    }
    if (lastEvent > 0) {
      data.append('\n');
    }
    data.append(text);
    versions.add(version);
    lastEvent = event;
    return true;
  }

  /** The text that an earlier runner left. */
  static ItemText of(ItemProgress progress) {
    ItemText text = new ItemText();
    text.data.append(progress.text());
    text.versions.addAll(progress.versions());
    text.lastEvent = progress.lastEvent();
    return text;
  }

  long lastEvent() {
    return lastEvent;
  }

  boolean isEmpty() {
    return lastEvent == 0;
  }

  String data() {
    return data.toString();
  }

  List<Long> versions() {
    return new ArrayList<>(versions);
  }

  /** Whether all of the text was made by allowed versions. */
  boolean fits(long oldestVersion, boolean singleVersion) {
    return isEmpty()
        || (versions.first() >= oldestVersion && (!singleVersion || versions.size() == 1));
  }
}
