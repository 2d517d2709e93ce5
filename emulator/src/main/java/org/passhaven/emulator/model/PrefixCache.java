package org.passhaven.emulator.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Prompts whose prefix is held, least recently used out first. */
final class PrefixCache {
  private final int capacityTokens;
  private final Map<String, Integer> held = new LinkedHashMap<>(16, 0.75f, true);
  private int heldTokens;

  PrefixCache(int capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Whether a prompt was held; holds it from now on. */
  boolean use(String prompt, int tokens) {
    if (held.get(prompt) != null) {
      return true;
    }
    held.put(prompt, tokens);
    heldTokens += tokens;
    evict();
    return false;
  }

  void clear() {
    held.clear();
    heldTokens = 0;
  }

  private void evict() {
    Iterator<Integer> oldest = held.values().iterator();
    while (heldTokens > capacityTokens && oldest.hasNext()) {
      heldTokens -= oldest.next();
      oldest.remove();
    }
  }
}
