package org.passhaven.core.job;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of the texts of items whose job stopped at this node, for the same items in a later job.
 * Decides whether a text from the cache or the log may be reused. Not thread-safe.
 */
final class TextCache {
  private static final int MAX_TEXTS = 512;

  private record CachedText(ItemText text, boolean complete) {}

  /** Key of a text. It includes the tenant, so that tenants never share texts. */
  private record Key(String tenant, String item) {
    static Key of(ItemExecution execution) {
      return new Key(execution.jobExecution.job.submission().tenant(), execution.item.id());
    }
  }

  private final Map<Key, CachedText> texts = new LinkedHashMap<>();

  /** Adds an item's text and evicts the oldest one if the cache is full. */
  void put(ItemExecution execution, boolean complete) {
    texts.put(Key.of(execution), new CachedText(execution.text, complete));
    if (texts.size() > MAX_TEXTS) {
      texts.remove(texts.keySet().iterator().next());
    }
  }

  /** Removes the cached text of an item and sets it in the item if it may be reused. */
  void restore(ItemExecution execution) {
    CachedText cached = texts.remove(Key.of(execution));
    if (cached != null && execution.phase == ItemExecution.Phase.WAITING) {
      useIfAllowed(execution, cached.text(), cached.complete());
    }
  }

  /** Sets the text that an earlier owner saved in the log, if it may be reused. */
  static void restoreFromLog(ItemExecution execution, TextTable texts) {
    ItemText cached = texts.remove(execution.jobExecution.job.id(), execution.item.id());
    if (cached != null && execution.phase == ItemExecution.Phase.WAITING) {
      useIfAllowed(execution, cached, cached.isComplete());
    }
  }

  /** Reuses a text if its versions are allowed and it is not shorter than the current one. */
  private static void useIfAllowed(ItemExecution execution, ItemText text, boolean complete) {
    boolean isAllowed =
        text.usesAllowedVersions(
            execution.jobExecution.job.submission().oldestVersion(),
            execution.jobExecution.policy().singleVersion());
    if (isAllowed && text.lastEvent() >= execution.text.lastEvent()) {
      execution.setText(text);
      if (complete) {
        execution.phase = ItemExecution.Phase.WAITING_FOR_SCORE;
      }
    }
  }
}
