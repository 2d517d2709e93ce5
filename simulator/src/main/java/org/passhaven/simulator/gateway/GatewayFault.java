package org.passhaven.simulator.gateway;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

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
    SCORES_LOST,
    /** A lookup comes again and again that crashes each server that begins it. */
    LOOKUP_CRASHES_SERVERS,
    /** An item of the next step does. */
    ITEM_CRASHES_SERVERS,
    /** The call that scores an item of the next step does. */
    SCORE_CRASHES_SERVERS,
    /** A machine stands still, and its steady clock with it. */
    NODE_SUSPENDED,
    /** A machine's time of day is set ahead or back, and right again. */
    CLOCK_SET;

    /** Kinds that {@link GatewayWorld#draw} draws from: more of them would change each seed. */
    static final Set<Kind> DRAWN =
        Collections.unmodifiableSet(EnumSet.range(NODE_KILLED, SCORES_LOST));
  }
}
