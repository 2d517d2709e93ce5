package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.ItemPlan;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.ServerObservation.AnswerHarm;
import org.passhaven.platform.standin.history.ServerObservation.AnswerHarmed;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

/** Checks of the content of results and answers. */
final class ResultChecks {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_OTHER = 300;
  private static final int UNPROCESSABLE = 422;
  private static final int SERVER_ERROR = 500;

  private ResultChecks() {}

  private record FirstRead(ResultsRead read, JobRecord job, ItemPlan item, Result result) {}

  /** Each result once, as it was read first; changes are another promise's. */
  private static void eachResult(Evidence evidence, Consumer<FirstRead> consumer) {
    Set<String> seen = new HashSet<>();
    evidence
        .all(ResultsRead.class)
        .forEach(
            read ->
                evidence
                    .jobs()
                    .find(read.job())
                    .ifPresent(
                        job ->
                            read.results().stream()
                                .filter(result -> job.items().containsKey(result.item()))
                                .filter(result -> seen.add(read.job() + "\n" + result.item()))
                                .map(
                                    result ->
                                        new FirstRead(
                                            read, job, job.items().get(result.item()), result))
                                .forEach(consumer)));
  }

  /** {@link Promise#WHOLE_ANSWER}. */
  static void wholeAnswer(Evidence evidence, Tally tally) {
    RunEnds ends = new RunEnds();
    evidence.all(RunEnded.class).forEach(ends::see);
    evidence.all(AnswerHarmed.class).forEach(ends::see);
    eachResult(
        evidence,
        first -> {
          if (first.result().completed()) {
            checkCompleted(first, ends, tally);
          } else {
            checkErrored(first, ends, tally);
          }
        });
    evidence.all(RequestAnswered.class).forEach(answer -> checkAnswer(answer, ends, tally));
  }

  /** How the runs of each id ended. */
  private static final class RunEnds {
    private final Map<String, Set<String>> signatures = new HashMap<>();
    private final Map<String, List<Long>> failures = new HashMap<>();
    private final Map<String, Long> impossible = new HashMap<>();
    private final Map<String, List<AnswerHarmed>> harmed = new HashMap<>();

    void see(RunEnded ended) {
      switch (ended.how()) {
        case WHOLE ->
            signatures.computeIfAbsent(ended.id(), id -> new HashSet<>()).add(ended.signature());
        case FAILED ->
            failures.computeIfAbsent(ended.id(), id -> new ArrayList<>()).add(ended.atMillis());
        case IMPOSSIBLE -> impossible.merge(ended.id(), ended.atMillis(), Math::min);
        case LEFT, LATE, BROKEN, CRASHED -> {}
      }
    }

    void see(AnswerHarmed answer) {
      harmed.computeIfAbsent(answer.id(), id -> new ArrayList<>()).add(answer);
      // A node may go by a failure's head once that is whole: its run is not repeated for nothing.
      boolean isToldByHead =
          answer.harm() == AnswerHarm.BROKEN && answer.sentBytes() >= answer.headBytes();
      if (isToldByHead && answer.status() == SERVER_ERROR) {
        failures.computeIfAbsent(answer.id(), id -> new ArrayList<>()).add(answer.atMillis());
      } else if (isToldByHead && answer.status() == UNPROCESSABLE) {
        impossible.merge(answer.id(), answer.atMillis(), Math::min);
      }
    }

    /** What servers did to their answers to an id, for a finding's text. */
    String harms(String id) {
      return harmed.getOrDefault(id, List.of()).stream()
          .map(
              each ->
                  "; %s answered %d: %s %s %s%s, %d bytes of head, %d sent%s, signature %s"
                      .formatted(
                          each.instance(),
                          each.status(),
                          each.harm(),
                          each.framing(),
                          each.ending(),
                          each.isInterimFirst() ? " behind an interim answer" : "",
                          each.headBytes(),
                          each.sentBytes(),
                          each.surplus().isEmpty() ? "" : ", then " + each.surplus().trim(),
                          each.signature()))
          .collect(Collectors.joining());
    }

    /** Whether its servers had failed it often enough by a time. */
    boolean hasFailed(String id, int maxAttempts, long byMillis) {
      long failureCount =
          failures.getOrDefault(id, List.of()).stream().filter(at -> at <= byMillis).count();
      return impossible.getOrDefault(id, Long.MAX_VALUE) <= byMillis || failureCount >= maxAttempts;
    }

    boolean isSignature(String id, String signature) {
      return signatures.getOrDefault(id, Set.of()).contains(signature);
    }
  }

  private static void checkCompleted(FirstRead first, RunEnds ends, Tally tally) {
    TextDigest digest = TextDigest.parse(first.result().text());
    check(
        digest.fault().isEmpty() && digest.eventCount() == first.item().events(),
        first,
        tally,
        "a completed text has "
            + digest.eventCount()
            + " of "
            + first.item().events()
            + " events; "
            + digest.fault());
    String scoreId = first.item().scoreId();
    if (!scoreId.isEmpty()) {
      check(
          ends.isSignature(scoreId, first.result().score()),
          first,
          tally,
          "the score "
              + first.result().score()
              + " is no signature of call "
              + scoreId
              + ends.harms(scoreId));
    }
  }

  private static void checkErrored(FirstRead first, RunEnds ends, Tally tally) {
    JobRecord job = first.job();
    long atMillis = first.read().atMillis();
    long giveUpMillis = job.plan().giveUpMillis();
    int maxAttempts = job.plan().maxAttempts();
    boolean isGivenUp = giveUpMillis > 0 && atMillis >= job.firstSentMillis + giveUpMillis;
    boolean isAllowed =
        ends.hasFailed(first.item().id(), maxAttempts, atMillis)
            || ends.hasFailed(first.item().scoreId(), maxAttempts, atMillis)
            || isGivenUp
            || job.endAskedMillis <= atMillis;
    check(
        isAllowed,
        first,
        tally,
        "is errored in an open job before its attempts are used up"
            + ends.harms(first.item().id())
            + ends.harms(first.item().scoreId()));
  }

  private static void checkAnswer(RequestAnswered answer, RunEnds ends, Tally tally) {
    boolean isSuccess = answer.status() >= FIRST_SUCCESS && answer.status() < FIRST_OTHER;
    boolean isOther = !answer.answerId().isEmpty() && !answer.answerId().equals(answer.id());
    tally.check(
        !isOther && (!isSuccess || answer.whole()),
        answer.atMillis(),
        answer.node(),
        answer.id(),
        () ->
            isOther
                ? "the answer is that of " + answer.answerId()
                : "a " + answer.status() + " lacks signature or body" + ends.harms(answer.id()));
    if (!answer.signature().isEmpty()) {
      tally.check(
          isSuccess && ends.isSignature(answer.id(), answer.signature()),
          answer.atMillis(),
          answer.node(),
          answer.id(),
          () ->
              "a "
                  + answer.status()
                  + " has the signature "
                  + answer.signature()
                  + ", which no whole answer to it has"
                  + ends.harms(answer.id()));
    }
  }

  /** {@link Promise#TRUTHFUL_VERSIONS}. */
  static void truthfulVersions(Evidence evidence, Tally tally) {
    eachResult(
        evidence,
        first -> {
          if (first.result().completed()) {
            checkVersions(first, tally);
          }
        });
  }

  private static void checkVersions(FirstRead first, Tally tally) {
    List<Long> told = List.copyOf(new TreeSet<>(first.result().versions()));
    List<Long> made = TextDigest.parse(first.result().text()).versions();
    check(told.equals(made), first, tally, "versions " + told + " are told, " + made + " made it");
    long least = first.job().leastVersion();
    check(
        made.stream().allMatch(version -> version >= least),
        first,
        tally,
        "versions " + made + " made it, " + least + " is the oldest that may");
    check(
        !first.job().plan().singleVersion() || made.size() <= 1,
        first,
        tally,
        "versions " + made + " made it where one may");
  }

  private static void check(boolean isKept, FirstRead first, Tally tally, String text) {
    tally.check(
        isKept,
        first.read().atMillis(),
        first.read().node(),
        first.read().job(),
        () -> "item " + first.item().id() + ": " + text);
  }
}
