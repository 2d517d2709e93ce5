package org.passhaven.core.log;

import java.util.Map;
import java.util.TreeMap;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

/**
 * The newest record folded from each writer of a stream.
 *
 * <p>Invariant: a writer has at most one batch in flight, so an identity at or below the newest one
 * is a late copy of a repeated append and is ignored by every reader alike.
 */
public final class WriterPositions {
  /** Newest incarnation and sequence of one writer. */
  public record Position(long incarnation, long sequence) {}

  private final Map<NodeId, Position> newest = new TreeMap<>();

  /**
   * Records {@code id}; returns false if it is a copy or comes from an earlier start of its writer.
   */
  public boolean accept(RecordId id) {
    Position known = newest.get(id.writer());
    if (known != null && isCopy(known, id)) {
      return false;
    }
    newest.put(id.writer(), new Position(id.incarnation(), id.sequence()));
    return true;
  }

  /** Copies for a snapshot. */
  public Map<NodeId, Position> toMap() {
    return new TreeMap<>(newest);
  }

  /** Replaces the content from a snapshot. */
  public void restore(Map<NodeId, Position> positions) {
    newest.clear();
    newest.putAll(positions);
  }

  private static boolean isCopy(Position known, RecordId id) {
    if (id.incarnation() != known.incarnation()) {
      return id.incarnation() < known.incarnation();
    }
    return id.sequence() <= known.sequence();
  }
}
