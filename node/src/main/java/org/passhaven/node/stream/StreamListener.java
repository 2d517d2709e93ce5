package org.passhaven.node.stream;

import org.passhaven.protocol.LogEntry;

/** Receives the records of one stream in order. */
public interface StreamListener {
  /**
   * Called with each record that was read.
   *
   * @param entry the record
   * @param isOwn whether this incarnation of this node appended it
   * @param sentAtMillis time when it was first sent if own, otherwise when it was read
   * @return whether the record took effect
   */
  boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis);

  /** Called after each read that reached the end of the stream. */
  default void onCaughtUp() {}

  /** Called when the log can be read again after an outage of {@code downMillis}. */
  default void onLogRecovered(long downMillis) {}

  /** Called to replace the replicated state by a snapshot; an empty image resets it. */
  default void onRestore(byte[] image) {}
}
