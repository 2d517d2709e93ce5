package org.passhaven.node.gateway;

import org.passhaven.protocol.duty.DutyRecord;

/** Calls to the outside that one node at a time may make, as {@link DutyAgent} decides. */
interface Duty {
  /** Whether something is due, so that a holder is needed; asked at every node. */
  boolean isNeeded(long nowMillis);

  /** Does what is due; called at the holder only, at a moment at which it may act. */
  void act(long nowMillis);

  /** This node has come to hold the lease, or holds it no longer. */
  void onHolderChanged(boolean isHolder);

  /** A record of the stream was read, whoever wrote it. */
  void onRecord(DutyRecord record);
}
