package org.passhaven.core.job;

import java.util.HashMap;
import java.util.Map;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;

/**
 * Fold of the text records of one run: what a new owner goes on from. A record that its writer had
 * superseded, or that follows a newer owner's, changes nothing; a part behind a gap, or behind
 * another text than its writer had, is left out. So no text ever joins events of generations that
 * did not continue each other. Not thread-safe.
 */
public final class TextTable {
  private record Key(String job, String item) {}

  private final String run;
  private final Map<Key, ItemText> texts = new HashMap<>();

  /** Job whose text of an item was written last: a later job may carry the item over. */
  private final Map<String, String> lastJobByItem = new HashMap<>();

  private long epoch;
  private long lastNumber;

  /** Creates the empty fold of a run. */
  public TextTable(String run) {
    this.run = run;
  }

  /** Folds one record; true if it took effect. */
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
   * Takes an item's text out of the table: that of the job, else the last one that an earlier job
   * left of the same item; null if there is none.
   */
  ItemText remove(String job, String item) {
    ItemText own = texts.remove(new Key(job, item));
    String lastJob = lastJobByItem.remove(item);
    return own != null || lastJob == null ? own : texts.remove(new Key(lastJob, item));
  }

  /** Number of items with text. */
  public int size() {
    return texts.size();
  }
}
