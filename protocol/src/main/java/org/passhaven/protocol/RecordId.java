package org.passhaven.protocol;

import java.util.Objects;

/**
 * Identity of a log record. An append without a response is retried under the same identity, and
 * readers drop duplicates.
 *
 * @param writer node that wrote the record
 * @param incarnation incarnation of the writer, so that a restarted writer never reuses an identity
 * @param sequence number of the record, increasing by one with each record of the writer in the
 *     stream
 */
public record RecordId(NodeId writer, long incarnation, long sequence) {
  public RecordId {
    Objects.requireNonNull(writer, "writer");
  }
}
