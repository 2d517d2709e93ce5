package org.passhaven.protocol;

import java.util.Objects;

/** A record with its identity, as stored in the platform's log. */
public record LogEntry(RecordId id, LogRecord record) {
  public LogEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(record, "record");
  }
}
