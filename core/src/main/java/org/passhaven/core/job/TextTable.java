package org.passhaven.core.job;

import java.util.HashMap;
import java.util.Map;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Saved texts of one run, built by applying its text records, from which a new owner continues.
 * Ignores records that are out of order or of an earlier owner, and parts that follow a gap or
 * continue a different text. A text thus never joins generations that did not continue each other.
 * Not thread-safe.
 */
public final class TextTable {
  private record Key(String job, String item) {}

  private final String run;
  private final Map<Key, ItemText> texts = new HashMap<>();

  /** Job with the last saved text of an item, which a later job may contain again. */
  private final Map<String, String> lastJobByItem = new HashMap<>();

  private long epoch;
  private long lastNumber;

  /** Creates the empty table of a run. */
  public TextTable(String run) {
    this.run = run;
  }

  /** Applies one record; returns true if it took effect. */
  public boolean apply(TextRecord record) {
    boolean isNewEpoch = record.epoch() > epoch;
    boolean isNext = record.epoch() == epoch && record.number() > lastNumber;
    if (!record.run().equals(run) || !(isNewEpoch || isNext)) {
      return false;
    }
    epoch = record.epoch();
    lastNumber = record.number();
    record.parts().forEach(this::apply);
    return true;
  }

  private void apply(TextPart part) {
    Key key = new Key(part.job(), part.item());
    ItemText text = texts.getOrDefault(key, new ItemText());
    if (text.replaceAfter(part)) {
      texts.put(key, text);
      lastJobByItem.put(part.item(), part.job());
    }
  }

  /**
   * Removes and returns the text of an item in a job, or else the last one that an earlier job
   * saved for the same item; null if there is none.
   */
  ItemText remove(String job, String item) {
    ItemText ownText = texts.remove(new Key(job, item));
    String lastJob = lastJobByItem.remove(item);
    return ownText != null || lastJob == null ? ownText : texts.remove(new Key(lastJob, item));
  }

  /** Returns the number of items with a text. */
  public int size() {
    return texts.size();
  }
}
