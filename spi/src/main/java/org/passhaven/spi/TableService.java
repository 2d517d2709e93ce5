package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/** Client of the platform's key-value tables and their change streams. */
public interface TableService {
  /**
   * The current document under a key.
   *
   * @param value document; null if it was removed
   */
  record Entry(String key, byte[] value) {}

  /**
   * A page of a table listing.
   *
   * @param more whether there are keys after the last one in the page
   * @param end position in the change stream after the newest change contained in the page
   */
  record Page(List<Entry> entries, boolean more, long end) {
    public Page {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Changes since a position.
   *
   * @param truncated whether the position is no longer available, so that the table must be listed
   *     again
   * @param end position to continue from
   */
  record Changes(List<Entry> entries, boolean truncated, long end) {
    public Changes {
      entries = List.copyOf(entries);
    }
  }

  /** Lists a table in key order after {@code afterKey}, which is empty for the first page. */
  Uni<Page> list(String table, String afterKey);

  /** Reads changes; waits up to {@code waitMillis} for the first one. */
  Uni<Changes> changes(String table, long from, long waitMillis);

  /** Writes documents atomically; those without a value are removed. */
  Uni<Void> put(String table, List<Entry> entries);
}
