package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws faults of one kind that follow each other with short pauses, apart from other faults. */
final class FaultSeries {
  private static final Range PAUSE_MILLIS = new Range(500, 2_000);

  private FaultSeries() {}

  /** A range of whole numbers with both its ends. */
  record Range(long min, long max) {
    long draw(UniformRandomProvider drawing) {
      return min + drawing.nextLong(max - min + 1);
    }

    int drawInt(UniformRandomProvider drawing) {
      return Math.toIntExact(draw(drawing));
    }
  }

  /** Draws what one fault does. */
  interface Kind {
    Fault draw(long atMillis, long forMillis, UniformRandomProvider drawing);
  }

  /**
   * Returns the faults that begin within a time.
   *
   * @param seed seed of this series alone
   * @param lengthMillis length of each fault
   */
  static List<Fault> draw(
      long seed, long fromMillis, long untilMillis, Range lengthMillis, Kind kind) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Fault> faults = new ArrayList<>();
    long atMillis = fromMillis;
    while (atMillis < untilMillis) {
      long forMillis = lengthMillis.draw(drawing);
      faults.add(kind.draw(atMillis, forMillis, drawing));
      atMillis += forMillis + PAUSE_MILLIS.draw(drawing);
    }
    return faults;
  }
}
