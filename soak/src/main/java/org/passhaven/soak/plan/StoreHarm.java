package org.passhaven.soak.plan;

/** What happens to the store. */
public enum StoreHarm {
  /** Every call takes longer. */
  SLOW,
  /** Every call of every node is refused. */
  DOWN,
  /** Calls that concern some partitions are refused. */
  PARTLY_DOWN,
  /** The calls of some nodes are refused. */
  REFUSES_SOME,
  /** The connections of some nodes are reset. */
  RESETS_SOME,
  /** Some nodes hear nothing. */
  SILENT_FOR_SOME,
  /** Some nodes are told that they call too often. */
  THROTTLES_SOME,
  /** Calls are carried out, and their answers are lost. */
  LOSES_ANSWERS,
  /** Calls get no answer, and are carried out later. */
  DONE_LATE,
  /** The history of the operator's and the servers' topics goes; the newest of each key stays. */
  FORGETS_HISTORY,
  /** All partitions are dealt anew among the members of each group. */
  DEALS_GROUPS_ANEW
}
