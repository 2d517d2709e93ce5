package org.passhaven.protocol;

import java.util.Objects;

/**
 * Identity of one log record. An append whose answer was lost is repeated under the same identity
 * and every reader keeps the first copy only.
 *
 * @param writer node that wrote the record
 * @param incarnation the writer's start, so that a restarted writer never repeats an identity
 * @param sequence grows by one with each record of this writer in this stream
 */
public record RecordId(NodeId writer, long incarnation, long sequence) {
  public RecordId {
    Objects.requireNonNull(writer, "writer");
  }
}
