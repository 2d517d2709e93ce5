package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.NodeObservation.ServerHarmSet;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.ServerEnded;
import org.passhaven.soak.plan.BackEndHarm;

/**
 * {@link Promise#SERVED_BESIDE_ENDLESS_ANSWERS}: while one back end answers without end and nothing
 * else is wrong, nine of ten repeatable requests are served.
 */
final class EndlessAnswerCheck {
  /** Fewest requests of which a share is judged. */
  private static final int MIN_REQUESTS = 10;

  private static final double MIN_SHARE = 0.9;

  /** Time after the end of a server in which requests may fail because of it. */
  private static final long SETTLE_MILLIS = 2_000;

  private static final int OK = 200;

  private final Evidence evidence;
  private final List<Span> harms = new ArrayList<>();
  private final Set<String> left;

  /** A time in which something is wrong with a back end. */
  private record Span(long fromMillis, long untilMillis, boolean isEndless) {
    boolean holds(long millis) {
      return millis >= fromMillis && millis <= untilMillis;
    }
  }

  private EndlessAnswerCheck(Evidence evidence) {
    this.evidence = evidence;
    this.left = evidence.leftIds();
    Map<Integer, ServerHarmSet> open = new HashMap<>();
    evidence.all(ServerHarmSet.class).forEach(set -> see(set, open));
    open.values().forEach(set -> addHarm(set, Long.MAX_VALUE));
    StutterSpan.all(evidence)
        .forEach(span -> harms.add(new Span(span.fromMillis(), span.untilMillis(), false)));
    evidence
        .all(ServerEnded.class)
        .forEach(end -> harms.add(new Span(end.atMillis(), end.atMillis() + SETTLE_MILLIS, false)));
  }

  private void see(ServerHarmSet set, Map<Integer, ServerHarmSet> open) {
    ServerHarmSet begun = open.remove(set.server());
    if (begun != null) {
      addHarm(begun, set.atMillis());
    }
    if (!set.fault().isEmpty()) {
      open.put(set.server(), set);
    }
  }

  private void addHarm(ServerHarmSet set, long untilMillis) {
    boolean isEndless = set.fault().equals(BackEndHarm.ENDLESS.name());
    harms.add(new Span(set.atMillis(), untilMillis, isEndless));
  }

  static void judge(Evidence evidence, Tally tally) {
    EndlessAnswerCheck check = new EndlessAnswerCheck(evidence);
    Set<String> served =
        evidence
            .all(RequestAnswered.class)
            .filter(answer -> answer.status() == OK && answer.whole())
            .map(RequestAnswered::id)
            .collect(Collectors.toSet());
    check.harms.stream().filter(Span::isEndless).forEach(span -> check.judge(span, served, tally));
  }

  private void judge(Span span, Set<String> served, Tally tally) {
    List<RequestSent> sent =
        evidence
            .all(RequestSent.class)
            .filter(request -> request.mayRepeat() && span.holds(request.atMillis()))
            .filter(this::isBound)
            .toList();
    long servedCount = sent.stream().filter(request -> served.contains(request.id())).count();
    if (sent.size() >= MIN_REQUESTS) {
      tally.check(
          servedCount >= MIN_SHARE * sent.size(),
          span.fromMillis(),
          "",
          "answers without end",
          () -> "served " + servedCount + " of " + sent.size() + " repeatable requests");
    }
  }

  /** Whether one back end alone was harmed and the node undisturbed until its caller gave up. */
  private boolean isBound(RequestSent request) {
    long untilMillis = request.atMillis() + request.deadlineMillis();
    long harmCount = harms.stream().filter(harm -> harm.holds(request.atMillis())).count();
    return harmCount == 1
        && !left.contains(request.id())
        && evidence.touch().isInTouch(request.node(), request.atMillis(), untilMillis);
  }
}
