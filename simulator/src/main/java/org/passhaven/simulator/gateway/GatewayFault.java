package org.passhaven.simulator.gateway;

/**
 * A fault that begins at a moment and lasts for a time.
 *
 * @param target picks the node or server, modulo their number
 */
public record GatewayFault(Kind kind, long atMillis, long forMillis, int target) {
  /** What goes wrong. */
  public enum Kind {
    NODE_KILLED,
    NODE_PAUSED,
    NODE_CUT_FROM_STORE,
    NODE_LEAVES,
    LAST_WRITER_KILLED,
    ALL_NODES_KILLED,
    STORE_REFUSES,
    STORE_SILENT,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    STORE_DOES_LATE,
    STORE_FORGETS,
    STORE_PARTLY_SILENT,
    STORE_REFUSES_SOME_NODES,
    SERVER_CRASHES,
    SERVER_DARK,
    SERVER_SLOW,
    SERVER_LEAVES,
    ORDERS_LATE,
    SCORES_LOST
  }
}
