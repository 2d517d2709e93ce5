package org.passhaven.node.stream;

import org.passhaven.protocol.LogEntry;

/** Takes in the records of one stream in order. */
public interface StreamListener {
  /**
   * One record was read.
   *
   * @param entry the record
   * @param isOwn whether this start of this node wrote it
   * @param sentAtMillis when it was first sent if own; else when it was read
   * @return whether the record took effect
   */
  boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis);

  /** All records that the stream held at the last read were folded. */
  default void onCaughtUp() {}

  /** The log can be read again after it could not for {@code downMillis}. */
  default void onLogRecovered(long downMillis) {}

  /** Forget the fold; it continues from {@code image}, or from nothing if that is empty. */
  default void onRestore(byte[] image) {}
}
