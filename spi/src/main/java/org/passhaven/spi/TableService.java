package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/** Tables of documents by key in the platform's store, and the stream of their changes. */
public interface TableService {
  /**
   * The newest document under a key.
   *
   * @param value the document; null if it was removed
   */
  record Entry(String key, byte[] value) {}

  /**
   * Part of a table.
   *
   * @param more whether there are keys after the last one given
   * @param end position after the newest change when the part was read
   */
  record Page(List<Entry> entries, boolean more, long end) {
    public Page {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Changes from a position on.
   *
   * @param truncated whether the position is no longer kept; the table has to be listed anew
   * @param end position to go on from
   */
  record Changes(List<Entry> entries, boolean truncated, long end) {
    public Changes {
      entries = List.copyOf(entries);
    }
  }

  /** Lists a table in the order of its keys, after {@code afterKey}; empty for the first part. */
  Uni<Page> list(String table, String afterKey);

  /** Reads changes; waits up to {@code waitMillis} for a first one. */
  Uni<Changes> changes(String table, long from, long waitMillis);

  /** Writes documents, all or none; those without a value are removed. */
  Uni<Void> put(String table, List<Entry> entries);
}
