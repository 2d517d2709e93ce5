package org.passhaven.core.configuration;

import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.passhaven.core.log.WriterPositions;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord.ConfigurationApplied;

/**
 * Fold of the configuration stream. An application is valid only if its base is the newest
 * revision, so of two racing operators the first in the log wins, for every reader. Not
 * thread-safe.
 */
public final class ConfigurationLog {
  /** Name of the stream. */
  public static final String STREAM = "configuration";

  private final WriterPositions writers = new WriterPositions();
  private final NavigableMap<String, ConfigurationDocument> documents = new TreeMap<>();
  private long revision;
  private String lastOperator = "";

  /** Folds one record; returns whether it became the newest revision. */
  public boolean apply(LogEntry entry) {
    if (!writers.accept(entry.id()) || !(entry.record() instanceof ConfigurationApplied applied)) {
      return false;
    }
    if (applied.base() != revision) {
      return false;
    }
    applied.removed().forEach(documents::remove);
    applied.changed().forEach(document -> documents.put(document.key(), document));
    revision++;
    lastOperator = applied.operator();
    return true;
  }

  /** The record that turns the newest revision into {@code target}. */
  public ConfigurationApplied changeTo(Collection<ConfigurationDocument> target, String operator) {
    NavigableMap<String, ConfigurationDocument> wanted = new TreeMap<>();
    target.forEach(document -> wanted.put(document.key(), document));
    List<ConfigurationDocument> changed =
        wanted.values().stream()
            .filter(document -> !document.equals(documents.get(document.key())))
            .toList();
    List<String> removed =
        documents.keySet().stream().filter(key -> !wanted.containsKey(key)).toList();
    return new ConfigurationApplied(revision, operator, changed, removed);
  }

  /** Newest revision; zero before any. */
  public long revision() {
    return revision;
  }

  /** Who applied the newest revision. */
  public String lastOperator() {
    return lastOperator;
  }

  /** Documents of the newest revision by key. */
  public List<ConfigurationDocument> documents() {
    return List.copyOf(documents.values());
  }
}
