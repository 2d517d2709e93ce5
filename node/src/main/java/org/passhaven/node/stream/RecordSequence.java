package org.passhaven.node.stream;

/**
 * Numbers the records of one start of a node over all streams. A stream that is left and followed
 * again goes on with higher numbers, so that no identity is ever used twice. Not thread-safe.
 */
public final class RecordSequence {
  private long last;

  /** The next number. */
  public long next() {
    return ++last;
  }
}
