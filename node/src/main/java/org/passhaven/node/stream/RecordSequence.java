package org.passhaven.node.stream;

/**
 * Generates the numbers of the records that one incarnation of a node appends to any stream. All
 * streams share one sequence, so that a stream that is closed and opened again reuses no record
 * identity. Not thread-safe.
 */
public final class RecordSequence {
  private long lastNumber;

  /** Returns the next number. */
  public long next() {
    return ++lastNumber;
  }
}
