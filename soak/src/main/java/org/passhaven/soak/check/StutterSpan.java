package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.platform.standin.history.NodeObservation.StutterSet;

/** A time in which the servers stutter, and fail and refuse requests meanwhile. */
record StutterSpan(long fromMillis, long untilMillis) {
  /** All such times of a history. */
  static List<StutterSpan> all(Evidence evidence) {
    List<StutterSpan> spans = new ArrayList<>();
    List<StutterSet> sets = evidence.all(StutterSet.class).toList();
    for (int i = 0; i < sets.size(); i++) {
      if (sets.get(i).stutters()) {
        long untilMillis = i + 1 < sets.size() ? sets.get(i + 1).atMillis() : Long.MAX_VALUE;
        spans.add(new StutterSpan(sets.get(i).atMillis(), untilMillis));
      }
    }
    return spans;
  }

  boolean overlaps(long otherFromMillis, long otherUntilMillis) {
    return fromMillis <= otherUntilMillis && untilMillis >= otherFromMillis;
  }
}
