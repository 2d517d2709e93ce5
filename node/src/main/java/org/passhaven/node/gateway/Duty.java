package org.passhaven.node.gateway;

import org.passhaven.protocol.duty.DutyRecord;

/** Calls to external systems that only the holder of the duty lease may make. */
interface Duty {
  /** Returns whether work is due, so that a lease holder is needed; called on every node. */
  boolean isNeeded(long nowMillis);

  /** Does the work that is due; called only while this node holds a valid lease. */
  void act(long nowMillis);

  /** Called when this node acquires or loses the lease. */
  void onHolderChanged(boolean isHolder);

  /** Called for each record read from the duty stream, including records of other nodes. */
  void onRecord(DutyRecord record);
}
