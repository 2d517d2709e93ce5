package org.passhaven.core.job;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Texts of items that no longer run here, for the same items in a later job or run, and the rule by
 * which text that was made before may be used. Not thread-safe.
 */
final class TextCache {
  private static final int MAX_TEXTS = 512;

  private record CachedText(ItemText text, boolean complete) {}

  /** Items of two tenants are never the same, whatever their names. */
  private record Key(String tenant, String item) {
    static Key of(ItemExecution run) {
      return new Key(run.jobExecution.job.submission().tenant(), run.item.id());
    }
  }

  private final Map<Key, CachedText> texts = new LinkedHashMap<>();

  /** Keeps an item's text; the oldest one gives way to it. */
  void put(ItemExecution run, boolean whole) {
    texts.put(Key.of(run), new CachedText(run.text, whole));
    if (texts.size() > MAX_TEXTS) {
      texts.remove(texts.keySet().iterator().next());
    }
  }

  /** Gives an item the text that is kept for it, if there is one that it may use. */
  void restore(ItemExecution run) {
    CachedText left = texts.remove(Key.of(run));
    if (left != null && run.phase == ItemExecution.Phase.WAITING) {
      useIfAllowed(run, left.text(), left.complete());
    }
  }

  /** Gives an item the text that an earlier runner left in the log, if it may use it. */
  static void restoreFromLog(ItemExecution run, TextTable texts) {
    ItemText left = texts.remove(run.jobExecution.job.id(), run.item.id());
    if (left != null && run.phase == ItemExecution.Phase.WAITING) {
      useIfAllowed(run, left, left.isComplete());
    }
  }

  /** Takes text that was made before, if its versions fit and it is no shorter than the own one. */
  private static void useIfAllowed(ItemExecution run, ItemText text, boolean whole) {
    boolean fits =
        text.usesAllowedVersions(
            run.jobExecution.job.submission().oldestVersion(),
            run.jobExecution.policy.singleVersion());
    if (fits && text.lastEvent() >= run.text.lastEvent()) {
      run.setText(text);
      if (whole) {
        run.phase = ItemExecution.Phase.WAITING_FOR_SCORE;
      }
    }
  }
}
