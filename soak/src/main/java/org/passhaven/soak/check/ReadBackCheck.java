package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.passhaven.platform.standin.history.JobObservation;
import org.passhaven.platform.standin.history.JobObservation.NotFound;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.JobObservation.Unreadable;

/** {@link Promise#READ_BACK}: what is promised past the end of the history, from every node. */
final class ReadBackCheck {
  private static final String NEVER_ASKED = "never asked for";
  private final Evidence evidence;
  private final Tally tally;
  private final Map<String, Set<Integer>> knownPositions = new HashMap<>();
  private final Map<String, Set<Integer>> readBack = new HashMap<>();
  private final Map<String, String> lastAnswers = new HashMap<>();

  private ReadBackCheck(Evidence evidence, Tally tally) {
    this.evidence = evidence;
    this.tally = tally;
  }

  static void judge(Evidence evidence, Tally tally) {
    ReadBackCheck check = new ReadBackCheck(evidence, tally);
    evidence.all(JobObservation.class).forEach(check::see);
    evidence.jobs().all().stream()
        .filter(job -> job.isPromised(evidence.readBackFromMillis(), evidence.bounds()))
        .forEach(job -> evidence.nodes().forEach(node -> check.judge(node, job)));
  }

  private void see(JobObservation seen) {
    boolean isReadBack = seen.atMillis() >= evidence.readBackFromMillis();
    if (seen instanceof ResultsRead read) {
      Set<Integer> known = knownPositions.computeIfAbsent(read.job(), id -> new HashSet<>());
      read.results().stream().map(Result::position).forEach(known::add);
      if (isReadBack && read.sentAtMillis() >= evidence.readBackFromMillis()) {
        Set<Integer> back =
            readBack.computeIfAbsent(key(read.node(), read.job()), id -> new HashSet<>());
        read.results().stream().map(Result::position).forEach(back::add);
      }
    } else if (isReadBack && seen instanceof NotFound missing && missing.item().isEmpty()) {
      failed(seen, missing.node(), "answered " + missing.status());
    } else if (isReadBack && seen instanceof Unreadable bad && bad.item().isEmpty()) {
      failed(seen, bad.node(), "unreadable (" + bad.status() + " " + bad.reason() + ")");
    }
  }

  /** A job whose time is over need not be told of, however often it was asked for before. */
  private void failed(JobObservation seen, String node, String text) {
    boolean isPromised =
        evidence
            .jobs()
            .find(seen.job())
            .filter(job -> job.isPromised(seen.atMillis(), evidence.bounds()))
            .isPresent();
    if (isPromised) {
      lastAnswers.put(key(node, seen.job()), text);
    }
  }

  private void judge(String node, JobRecord job) {
    String id = job.plan().id();
    Set<Integer> back = readBack.get(key(node, id));
    String last = lastAnswers.getOrDefault(key(node, id), NEVER_ASKED);
    boolean isOver = !job.isPromised(evidence.endMillis(), evidence.bounds());
    if (back == null && last.equals(NEVER_ASKED) && isOver) {
      // The reading came to it too late: that tells nothing, and is no check.
      return;
    }
    tally.check(
        back != null,
        evidence.endMillis(),
        node,
        id,
        () -> "a job accepted at " + job.acceptedMillis + " ms is not read back: " + last);
    if (back != null) {
      Set<Integer> missing = new HashSet<>(knownPositions.getOrDefault(id, Set.of()));
      missing.removeAll(back);
      tally.check(
          missing.isEmpty(),
          evidence.endMillis(),
          node,
          id,
          () -> missing.size() + " positions once read do not return; last " + last);
    }
  }

  private static String key(String node, String job) {
    return node + "\n" + job;
  }
}
