package org.passhaven.core.log;

import java.util.Map;
import java.util.TreeMap;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

/**
 * Tracks the newest applied record of each writer of a stream, to detect duplicates.
 *
 * <p>Invariant: a writer has at most one batch in flight, so a record id at or below the newest one
 * is a duplicate from a retried append, and every reader ignores it. Not thread-safe.
 */
public final class WriterPositions {
  /** Newest incarnation and sequence number of one writer. */
  public record Position(long incarnation, long sequence) {}

  private final Map<NodeId, Position> newest = new TreeMap<>();

  /**
   * Records {@code id}; returns false if it is a duplicate or comes from an earlier incarnation of
   * its writer.
   */
  public boolean accept(RecordId id) {
    Position known = newest.get(id.writer());
    if (known != null && isDuplicate(known, id)) {
      return false;
    }
    newest.put(id.writer(), new Position(id.incarnation(), id.sequence()));
    return true;
  }

  /** Returns a copy of the positions for a snapshot. */
  public Map<NodeId, Position> toMap() {
    return new TreeMap<>(newest);
  }

  /** Replaces all positions with those of a snapshot. */
  public void restore(Map<NodeId, Position> positions) {
    newest.clear();
    newest.putAll(positions);
  }

  private static boolean isDuplicate(Position known, RecordId id) {
    if (id.incarnation() != known.incarnation()) {
      return id.incarnation() < known.incarnation();
    }
    return id.sequence() <= known.sequence();
  }
}
