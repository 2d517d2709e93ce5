package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.passhaven.platform.standin.history.NodeObservation.AnswerFaultsSet;
import org.passhaven.platform.standin.history.NodeObservation.StutterSet;
import org.passhaven.platform.standin.history.Observation;

/**
 * A time in which the servers stutter, and fail and refuse requests meanwhile, or harm their
 * answers.
 */
record StutterSpan(long fromMillis, long untilMillis) {
  /** All such times of a history. */
  static List<StutterSpan> all(Evidence evidence) {
    List<StutterSpan> spans = new ArrayList<>();
    spans.addAll(spans(evidence, StutterSet.class, StutterSet::stutters));
    spans.addAll(spans(evidence, AnswerFaultsSet.class, AnswerFaultsSet::harms));
    return spans;
  }

  private static <T extends Observation> List<StutterSpan> spans(
      Evidence evidence, Class<T> kind, Predicate<T> isBegin) {
    List<StutterSpan> spans = new ArrayList<>();
    List<T> sets = evidence.all(kind).toList();
    for (int i = 0; i < sets.size(); i++) {
      if (isBegin.test(sets.get(i))) {
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
