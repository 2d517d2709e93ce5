package org.passhaven.node.stream;

import org.passhaven.protocol.LogEntry;

/** Receives the records of one stream in order. */
public interface StreamListener {
  /**
   * Called with each record that was read.
   *
   * @param entry the record
   * @param isOwn whether this incarnation of this node appended it
   * @param sentAtMillis time when this client first sent the record, if it waits for its outcome;
   *     otherwise the time when the record was read
   * @return whether the record took effect
   */
  boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis);

  /** Called after each read that reached the end of the stream. */
  default void onCaughtUp() {}

  /** Called when the log can be read again after an outage of {@code downMillis}. */
  default void onLogRecovered(long downMillis) {}

  /** Called to replace the replicated state by that of a snapshot. */
  default void onRestore(byte[] image) {}
}
