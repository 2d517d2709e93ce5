package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.passhaven.platform.standin.history.NodeObservation.ServerHarmSet;
import org.passhaven.platform.standin.history.RequestObservation.FloodBegun;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.RequestObservation.SlowReadBegun;
import org.passhaven.platform.standin.history.RequestObservation.SlowReadEnded;
import org.passhaven.platform.standin.history.ServerObservation.ServerEnded;

/** Checks that slow readers neither harm other callers nor are dropped while they make progress. */
final class SlowReaderChecks {
  /** Fewest requests of which a share is compared. */
  private static final int MIN_REQUESTS = 20;

  /**
   * Smallest ratio of the served shares beside slow readers and at other times. Below one, since
   * some requests fail at their back ends by intention, by chance more in one window.
   */
  private static final double MIN_RATIO_OF_SHARES = 0.9;

  /** Largest ratio of the median times, to which {@link #SLACK_MILLIS} are added. */
  private static final double MAX_RATIO_OF_MEDIANS = 2;

  /** Longest work at an uneven server, which may occur in one window only. */
  private static final long SLACK_MILLIS = 100;

  /**
   * Time after a disturbance during which requests are not judged: answers may be late because of
   * it.
   */
  private static final long SETTLE_MILLIS = 2_000;

  /** Stall after which a node may drop a caller. */
  private static final long DROPPED_STALL_MILLIS = 8_000;

  private static final int OK = 200;

  private final Evidence evidence;
  private final Map<String, RequestAnswered> served;
  private final List<Window> windows;
  private final List<Window> disturbances;

  /** A span of time, both ends included. */
  private record Window(long fromMillis, long untilMillis) {
    boolean holds(long millis) {
      return millis >= fromMillis && millis <= untilMillis;
    }

    boolean touches(long otherFromMillis, long otherUntilMillis) {
      return otherFromMillis <= untilMillis && otherUntilMillis >= fromMillis;
    }
  }

  private SlowReaderChecks(Evidence evidence) {
    this.evidence = evidence;
    this.served =
        evidence
            .all(RequestAnswered.class)
            .filter(answer -> answer.status() == OK)
            .collect(
                Collectors.toMap(RequestAnswered::id, answer -> answer, (first, second) -> first));
    this.windows = windows(evidence);
    this.disturbances = disturbances(evidence);
  }

  /** Ids of requests whose callers read slowly or left early, which aren't among others served. */
  static Set<String> ids(Evidence evidence) {
    return Stream.concat(
            evidence.all(SlowReadBegun.class).map(SlowReadBegun::id), evidence.leftIds().stream())
        .collect(Collectors.toSet());
  }

  /** Times in which some caller read slowly, overlapping ones merged. */
  private static List<Window> windows(Evidence evidence) {
    Map<String, Long> endMillis = new HashMap<>();
    evidence.all(SlowReadEnded.class).forEach(ended -> endMillis.put(ended.id(), ended.atMillis()));
    List<Window> windows = new ArrayList<>();
    for (SlowReadBegun begun : evidence.all(SlowReadBegun.class).toList()) {
      long untilMillis = endMillis.getOrDefault(begun.id(), evidence.endMillis());
      Window last = windows.isEmpty() ? null : windows.get(windows.size() - 1);
      if (last != null && last.holds(begun.atMillis())) {
        windows.set(
            windows.size() - 1,
            new Window(last.fromMillis(), Math.max(last.untilMillis(), untilMillis)));
      } else {
        windows.add(new Window(begun.atMillis(), untilMillis));
      }
    }
    return windows;
  }

  /** Times in which requests may fail for other reasons: faults or ends of servers, and floods. */
  private static List<Window> disturbances(Evidence evidence) {
    List<Window> disturbances = new ArrayList<>();
    Map<Integer, Long> harmedMillis = new HashMap<>();
    evidence
        .all(ServerHarmSet.class)
        .forEach(
            set -> {
              if (!set.fault().isEmpty()) {
                harmedMillis.putIfAbsent(set.server(), set.atMillis());
              } else if (harmedMillis.containsKey(set.server())) {
                disturbances.add(new Window(harmedMillis.remove(set.server()), set.atMillis()));
              }
            });
    harmedMillis.values().forEach(millis -> disturbances.add(new Window(millis, Long.MAX_VALUE)));
    evidence
        .all(ServerEnded.class)
        .forEach(
            end -> disturbances.add(new Window(end.atMillis(), end.atMillis() + SETTLE_MILLIS)));
    evidence
        .all(FloodBegun.class)
        .forEach(
            flood ->
                disturbances.add(
                    new Window(
                        flood.atMillis(), flood.atMillis() + flood.forMillis() + SETTLE_MILLIS)));
    StutterSpan.all(evidence)
        .forEach(span -> disturbances.add(new Window(span.fromMillis(), span.untilMillis())));
    return disturbances;
  }

  /** {@link Promise#SERVED_BESIDE_SLOW_READERS}. */
  static void servedBeside(Evidence evidence, Tally tally) {
    new SlowReaderChecks(evidence).judgeOthers(tally);
  }

  private void judgeOthers(Tally tally) {
    Set<String> slow = new HashSet<>(ids(evidence));
    List<RequestSent> ordinary =
        evidence
            .all(RequestSent.class)
            .filter(RequestSent::mayRepeat)
            .filter(sent -> !slow.contains(sent.id()))
            .filter(this::isBound)
            .toList();
    List<RequestSent> others =
        ordinary.stream()
            .filter(sent -> windows.stream().noneMatch(each -> each.holds(sent.atMillis())))
            .toList();
    for (Window window : windows) {
      List<RequestSent> beside =
          ordinary.stream().filter(sent -> window.holds(sent.atMillis())).toList();
      if (beside.size() >= MIN_REQUESTS && others.size() >= MIN_REQUESTS) {
        check(window, beside, others, tally);
      }
    }
  }

  private boolean isBound(RequestSent sent) {
    long untilMillis = sent.atMillis() + sent.deadlineMillis();
    return evidence.touch().isInTouch(sent.node(), sent.atMillis(), untilMillis)
        && disturbances.stream().noneMatch(each -> each.touches(sent.atMillis(), untilMillis));
  }

  private void check(
      Window window, List<RequestSent> beside, List<RequestSent> others, Tally tally) {
    double share = share(beside);
    double otherShare = share(others);
    long median = medianMillis(beside);
    long otherMedian = medianMillis(others);
    tally.check(
        share >= MIN_RATIO_OF_SHARES * otherShare
            && median <= MAX_RATIO_OF_MEDIANS * otherMedian + SLACK_MILLIS,
        window.fromMillis(),
        "",
        "slow readers from " + window.fromMillis(),
        () ->
            "%.0f of 100 ordinary requests were served beside them, half in %d ms; else %.0f, %d ms"
                .formatted(100 * share, median, 100 * otherShare, otherMedian));
  }

  private double share(List<RequestSent> sent) {
    return (double) sent.stream().filter(each -> served.containsKey(each.id())).count()
        / sent.size();
  }

  private long medianMillis(List<RequestSent> sent) {
    List<Long> millis =
        sent.stream()
            .map(each -> served.get(each.id()))
            .filter(answer -> answer != null)
            .map(answer -> answer.atMillis() - answer.sentAtMillis())
            .sorted()
            .toList();
    return millis.isEmpty() ? 0 : millis.get(millis.size() / 2);
  }

  /** {@link Promise#ONLY_STALLED_DROPPED}. */
  static void onlyStalledDropped(Evidence evidence, Tally tally) {
    evidence
        .all(SlowReadEnded.class)
        .filter(ended -> ended.status() > 0)
        .filter(
            ended ->
                evidence.touch().isInTouch(ended.node(), ended.sentAtMillis(), ended.atMillis()))
        .forEach(
            ended ->
                tally.check(
                    ended.whole() || ended.longestStillMillis() >= DROPPED_STALL_MILLIS,
                    ended.atMillis(),
                    ended.node(),
                    ended.id(),
                    () ->
                        "a caller that took something at least every "
                            + ended.longestStillMillis()
                            + " ms was cut after "
                            + ended.bytes()
                            + " bytes"));
  }
}
