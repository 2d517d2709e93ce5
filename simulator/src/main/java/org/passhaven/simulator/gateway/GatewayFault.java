package org.passhaven.simulator.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A fault that begins at a moment and lasts for a time.
 *
 * @param target picks the node or server, modulo their number
 */
public record GatewayFault(Kind kind, long atMillis, long forMillis, int target) {
  private static final long FIRST_MILLIS = 3_000;

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
    /** Some servers in a row crash while they run an item of the next step. */
    SERVERS_CRASH_UNDER_ITEM,
    /** The call that scores an item of the next step crashes each server that begins it. */
    SCORE_CRASHES_SERVERS,
    /** A machine stands still, and its steady clock with it. */
    NODE_SUSPENDED,
    /** A machine's time of day is set ahead or back, and right again. */
    CLOCK_SET;

    /** Kinds that {@link #draw} draws from: more of them would change each seed. */
    static final Set<Kind> DRAWN =
        Collections.unmodifiableSet(EnumSet.range(NODE_KILLED, SCORES_LOST));
  }

  /** Draws faults that begin within a time. */
  public static List<GatewayFault> draw(long seed, int count, long withinMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 7);
    return draw(drawing, Kind.DRAWN, count, withinMillis);
  }

  /** Draws faults that {@link #draw} does not: crashing requests and suspended machines. */
  public static List<GatewayFault> drawCrashesAndSuspensions(
      long seed, int count, long withinMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 37 + 11);
    Set<Kind> others = EnumSet.allOf(Kind.class);
    others.removeAll(Kind.DRAWN);
    return draw(drawing, others, count, withinMillis);
  }

  private static List<GatewayFault> draw(
      UniformRandomProvider drawing, Set<Kind> from, int count, long withinMillis) {
    List<Kind> kinds = new ArrayList<>(from);
    List<GatewayFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      faults.add(
          new GatewayFault(
              kinds.get(drawing.nextInt(kinds.size())),
              FIRST_MILLIS + drawing.nextLong(withinMillis),
              500 + drawing.nextInt(6_000),
              drawing.nextInt(1_000)));
    }
    return faults;
  }
}
