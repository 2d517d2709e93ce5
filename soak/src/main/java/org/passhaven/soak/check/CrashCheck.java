package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.CrashedByRequest;
import org.passhaven.platform.standin.history.ServerObservation.RunBegun;

/**
 * {@link Promise#CRASHES_BOUNDED}: once a request has crashed three back ends and nodes in touch
 * have had their time to learn of it, they send it to back ends three times more.
 */
final class CrashCheck {
  private static final int KNOWN_AFTER = 3;
  private static final int MOST_SENT_AFTER = 3;

  private CrashCheck() {}

  static void judge(Evidence evidence, Tally tally) {
    Map<String, Integer> crashCounts = new HashMap<>();
    Map<String, Long> thirdCrashMillis = new HashMap<>();
    evidence
        .all(CrashedByRequest.class)
        .forEach(
            crash -> {
              if (crashCounts.merge(crash.path(), 1, Integer::sum) == KNOWN_AFTER) {
                thirdCrashMillis.put(crash.path(), crash.atMillis());
              }
            });
    Map<String, String> nodesByRequest =
        evidence
            .all(RequestSent.class)
            .collect(
                Collectors.toMap(RequestSent::id, RequestSent::node, (first, second) -> first));
    Map<String, Integer> sentAfter = new HashMap<>();
    evidence
        .all(RunBegun.class)
        .filter(run -> isLate(evidence, run, thirdCrashMillis))
        .filter(run -> isSenderInTouch(evidence, run, nodesByRequest))
        .forEach(
            run -> {
              int count = sentAfter.merge(run.path(), 1, Integer::sum);
              tally.check(
                  count <= MOST_SENT_AFTER,
                  run.atMillis(),
                  nodesByRequest.getOrDefault(run.id(), ""),
                  run.id(),
                  () -> "runs " + count + " times after its third crash: " + run.path());
            });
    thirdCrashMillis.forEach((path, atMillis) -> tally.check(true, atMillis, "", path, () -> ""));
  }

  private static boolean isLate(
      Evidence evidence, RunBegun run, Map<String, Long> thirdCrashMillis) {
    Long atMillis = thirdCrashMillis.get(run.path());
    return atMillis != null && run.atMillis() > atMillis + evidence.bounds().contactMillis();
  }

  /** Who sent an item or its scoring call isn't seen: it binds where every node is in touch. */
  private static boolean isSenderInTouch(
      Evidence evidence, RunBegun run, Map<String, String> nodesByRequest) {
    String node = nodesByRequest.get(run.id());
    return node == null
        ? evidence.touch().areInTouch(evidence.nodes(), run.atMillis(), run.atMillis())
        : evidence.touch().isInTouch(node, run.atMillis(), run.atMillis());
  }
}
