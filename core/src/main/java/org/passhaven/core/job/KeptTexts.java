package org.passhaven.core.job;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Texts of items that no longer run here, for the same items in a later job or run, and the rule by
 * which text that was made before may be used. Not thread-safe.
 */
final class KeptTexts {
  private static final int MAX_TEXTS = 512;

  private record KeptText(ItemText text, boolean whole) {}

  /** Items of two tenants are never the same, whatever their names. */
  private record Key(String tenant, String item) {
    static Key of(ItemRun run) {
      return new Key(run.job.job.submission().tenant(), run.item.id());
    }
  }

  private final Map<Key, KeptText> texts = new LinkedHashMap<>();

  /** Keeps an item's text; the oldest one gives way to it. */
  void keep(ItemRun run, boolean whole) {
    texts.put(Key.of(run), new KeptText(run.text, whole));
    if (texts.size() > MAX_TEXTS) {
      texts.remove(texts.keySet().iterator().next());
    }
  }

  /** Gives an item the text that is kept for it, if there is one that it may use. */
  void restore(ItemRun run) {
    KeptText left = texts.remove(Key.of(run));
    if (left != null && run.phase == ItemRun.Phase.WAITING) {
      use(run, left.text(), left.whole());
    }
  }

  /** Gives an item the text that an earlier runner left in the log, if it may use it. */
  static void adopt(ItemRun run, TextTable texts) {
    ItemText left = texts.take(run.job.job.id(), run.item.id());
    if (left != null && run.phase == ItemRun.Phase.WAITING) {
      use(run, left, left.isWhole());
    }
  }

  /** Takes text that was made before, if its versions fit and it is no shorter than the own one. */
  private static void use(ItemRun run, ItemText text, boolean whole) {
    boolean fits =
        text.fits(run.job.job.submission().oldestVersion(), run.job.policy.singleVersion());
    if (fits && text.lastEvent() >= run.text.lastEvent()) {
      run.setText(text);
      if (whole) {
        run.phase = ItemRun.Phase.WAITING_FOR_SCORE;
      }
    }
  }
}
