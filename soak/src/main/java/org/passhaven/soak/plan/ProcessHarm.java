package org.passhaven.soak.plan;

/** What happens to the process of a node. */
public enum ProcessHarm {
  /** Stopped by a signal, and continued later. */
  FREEZE,
  /** Asked to end, and started again once it is gone. */
  TERMINATE,
  /** Killed, and started again later. */
  KILL,
  /** Stopped and continued later, and its steady clock does not count the time. */
  SUSPEND,
  /** Its links fall silent, it is killed, and it is started again later. */
  POWER_LOSS
}
