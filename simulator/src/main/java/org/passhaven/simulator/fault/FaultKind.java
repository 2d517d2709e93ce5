package org.passhaven.simulator.fault;

/** Kinds of faults; docs/OPERATIONS.md says what an operator sees of each. */
public enum FaultKind {
  /**
   * An engine loses its memory, resets its streams and is back after the duration on the version
   * that it had.
   */
  ENGINE_CRASH,
  /** An engine hangs without a word for the duration. */
  ENGINE_FREEZE,
  /** An engine leaves as planned. */
  ENGINE_LEAVE,
  /** Weight swaps fail with the probability {@code value}. */
  SWAP_FAILURES,
  /** A node's process dies and is started again after the duration. */
  NODE_KILL,
  /** A node's process is stopped by a signal for the duration. */
  NODE_PAUSE,
  /** A node stops as planned and is started again after the duration. */
  NODE_STOP,
  /** All nodes die at once and are started again after the duration. */
  ALL_NODES_KILL,
  /** A service server dies and is back after the duration. */
  SERVER_CRASH,
  /** A service server hangs for the duration. */
  SERVER_FREEZE,
  /** A service server leaves as planned; it refuses by itself if {@code value} is above 0. */
  SERVER_LEAVE,
  /** The log is down. */
  LOG_DOWN,
  /** Each operation on the log takes {@code value} ms more. */
  LOG_SLOW,
  /** Answers of appends are lost with the probability {@code value}; the records are there. */
  LOG_LOST_ANSWERS,
  /** Messages between nodes are lost with the probability {@code value}. */
  MESSAGE_LOSS,
  /** Messages between nodes arrive twice with the probability {@code value}. */
  MESSAGE_DUPLICATION,
  /** Messages are late by up to {@code value} ms, and so out of order. */
  MESSAGE_DELAY,
  /** A zone is cut off from the others and from the platform. */
  ZONE_CUT,
  /** All of a zone's nodes and engines die and are back after the duration. */
  ZONE_LOSS,
  /** Two operators apply at once. */
  OPERATOR_RACE,
  /** The weight store sends nothing. */
  WEIGHT_STORE_DOWN,
  /** Nodes' clocks drift apart by up to {@code value} parts in a million. */
  CLOCK_DRIFT
}
