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
 * Replays the configuration stream into the newest configuration documents. A change is valid only
 * if it is based on the newest revision, so of two concurrent changes every reader accepts the
 * first in the log. Not thread-safe.
 */
public final class ConfigurationLog {
  /** Name of the stream. */
  public static final String STREAM = "configuration";

  private final WriterPositions writers = new WriterPositions();
  private final NavigableMap<String, ConfigurationDocument> documents = new TreeMap<>();
  private long revision;
  private String lastOperator = "";

  /** Applies one record and returns whether it created a new revision. */
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

  /** Returns the record that changes the newest revision into {@code target}. */
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

  /** Returns the newest revision, or zero if there is none. */
  public long revision() {
    return revision;
  }

  /** Returns the operator who applied the newest revision. */
  public String lastOperator() {
    return lastOperator;
  }

  /** Returns the documents of the newest revision, ordered by key. */
  public List<ConfigurationDocument> documents() {
    return List.copyOf(documents.values());
  }
}
