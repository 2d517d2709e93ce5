package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.passhaven.platform.standin.history.JobObservation;
import org.passhaven.platform.standin.history.JobObservation.Asked;
import org.passhaven.platform.standin.history.JobObservation.BodyRead;
import org.passhaven.platform.standin.history.JobObservation.NotFound;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.JobObservation.Unreadable;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

/** Checks of what readers of jobs see while the run goes on. */
final class JobChecks {
  private JobChecks() {}

  /** {@link Promise#JOB_KEPT}. */
  static void jobKept(Evidence evidence, Tally tally) {
    evidence
        .all(JobObservation.class)
        .forEach(
            seen -> {
              if (seen instanceof ResultsRead read) {
                boolean isAccepted =
                    evidence.jobs().find(read.job()).map(JobRecord::isAccepted).orElse(false);
                if (isAccepted) {
                  tally.check(true, read.atMillis(), read.node(), read.job(), () -> "");
                }
              } else if (seen instanceof NotFound missing && missing.asked() != Asked.BODY) {
                jobMissing(evidence, tally, missing);
              }
            });
  }

  private static void jobMissing(Evidence evidence, Tally tally, NotFound missing) {
    Optional<JobRecord> job = evidence.jobs().find(missing.job());
    if (job.isEmpty() || !isBound(evidence, job.get(), missing)) {
      return;
    }
    tally.check(
        false,
        missing.atMillis(),
        missing.node(),
        missing.job(),
        () -> "an accepted job is answered " + missing.status());
  }

  private static boolean isBound(Evidence evidence, JobRecord job, NotFound missing) {
    long settledMillis = job.acceptedMillis + evidence.bounds().settleMillis();
    return job.isPromised(missing.atMillis(), evidence.bounds())
        && missing.sentAtMillis() > settledMillis
        && evidence.touch().isInTouch(missing.node(), missing.sentAtMillis(), missing.atMillis());
  }

  /**
   * {@link Promise#READABLE_IN_TIME}. A node that says that it can't tell breaks it. One that does
   * not answer in the caller's time does so only if it has told of no job all that while: a single
   * late answer is no loss.
   */
  static void readableInTime(Evidence evidence, Tally tally) {
    Map<String, Long> toldMillis = new HashMap<>();
    evidence
        .all(JobObservation.class)
        .forEach(
            seen -> {
              if (seen instanceof ResultsRead read) {
                toldMillis.put(read.node(), read.atMillis());
                if (isDueToTell(evidence, read.job(), read.node(), read.atMillis())) {
                  tally.check(true, read.atMillis(), read.node(), read.job(), () -> "");
                }
              } else if (seen instanceof Unreadable bad
                  && bad.asked() != Asked.BODY
                  && isDueToTell(evidence, bad.job(), bad.node(), bad.atMillis())) {
                long told = toldMillis.getOrDefault(bad.node(), 0L);
                boolean isJustLate =
                    bad.status() == 0 && told >= bad.atMillis() - evidence.bounds().recoverMillis();
                tally.check(
                    isJustLate,
                    bad.atMillis(),
                    bad.node(),
                    bad.job(),
                    () -> "can't be read: " + bad.status() + " " + bad.reason());
              }
            });
  }

  private static boolean isDueToTell(Evidence evidence, String id, String node, long atMillis) {
    Bounds bounds = evidence.bounds();
    long calmFromMillis = atMillis - bounds.recoverMillis();
    return evidence
            .jobs()
            .find(id)
            .filter(job -> job.isPromised(atMillis, bounds))
            .filter(job -> job.acceptedMillis < calmFromMillis)
            .isPresent()
        && evidence.touch().isCalm(node, calmFromMillis, atMillis);
  }

  /** {@link Promise#RESULT_UNCHANGED}. */
  static void resultUnchanged(Evidence evidence, Tally tally) {
    Map<String, Positions> positions = new HashMap<>();
    evidence
        .all(ResultsRead.class)
        .forEach(
            read ->
                evidence
                    .jobs()
                    .find(read.job())
                    .ifPresent(
                        job -> {
                          Positions seen =
                              positions.computeIfAbsent(read.job(), id -> new Positions(job));
                          read.results().forEach(result -> seen.see(read, result, tally));
                          checkFrame(read, job, tally);
                          checkNotGone(evidence, read, job, seen, tally);
                        }));
  }

  private static void checkFrame(ResultsRead read, JobRecord job, Tally tally) {
    int itemCount = job.plan().items().size();
    boolean isWhole =
        read.total() == itemCount && read.next() == read.from() + read.results().size();
    tally.check(
        isWhole,
        read.atMillis(),
        read.node(),
        read.job(),
        () ->
            "a list of "
                + read.results().size()
                + " results from "
                + read.from()
                + " tells next "
                + read.next()
                + " and total "
                + read.total()
                + " of "
                + itemCount);
  }

  private static void checkNotGone(
      Evidence evidence, ResultsRead read, JobRecord job, Positions seen, Tally tally) {
    long knownMillis = read.sentAtMillis() - evidence.bounds().settleMillis();
    boolean isBound =
        read.results().isEmpty()
            && job.isPromised(read.atMillis(), evidence.bounds())
            && seen.isKnownSince(read.from(), knownMillis)
            && evidence.touch().isInTouch(read.node(), read.sentAtMillis(), read.atMillis());
    if (isBound) {
      tally.check(
          false,
          read.atMillis(),
          read.node(),
          read.job(),
          () -> "nothing is at position " + read.from() + ", which was read before");
    }
  }

  /** {@link Promise#BODY_KEPT}. */
  static void bodyKept(Evidence evidence, Tally tally) {
    Map<String, Long> finishedMillis = new HashMap<>();
    evidence
        .all(RunEnded.class)
        .filter(ended -> isFinish(ended.how()))
        .forEach(ended -> finishedMillis.putIfAbsent(ended.id(), ended.atMillis()));
    evidence.all(BodyRead.class).forEach(read -> checkBody(evidence, read, tally));
    evidence
        .all(NotFound.class)
        .filter(missing -> missing.asked() == Asked.BODY)
        .forEach(
            missing -> {
              long finished = finishedMillis.getOrDefault(missing.item(), JobRecord.NEVER);
              if (finished > missing.atMillis()) {
                checkMissingBody(evidence, missing, tally);
              }
            });
  }

  private static boolean isFinish(RunEnd how) {
    return how == RunEnd.WHOLE || how == RunEnd.FAILED || how == RunEnd.IMPOSSIBLE;
  }

  private static void checkBody(Evidence evidence, BodyRead read, Tally tally) {
    Optional<Long> sent =
        evidence
            .jobs()
            .find(read.job())
            .map(job -> job.items().get(read.item()))
            .map(item -> item.bodyHash());
    tally.check(
        sent.isPresent() && sent.get() == read.bodyHash(),
        read.atMillis(),
        read.node(),
        read.item(),
        () -> "a body of " + read.bodyBytes() + " bytes comes back that isn't the one sent");
  }

  private static void checkMissingBody(Evidence evidence, NotFound missing, Tally tally) {
    Optional<JobRecord> found = evidence.jobs().find(missing.job());
    if (found.isEmpty() || !isBound(evidence, found.get(), missing)) {
      return;
    }
    JobRecord job = found.get();
    long giveUpMillis = job.plan().giveUpMillis();
    boolean isOpen = job.endAskedMillis > missing.atMillis();
    boolean isGivenUp =
        giveUpMillis > 0 && missing.atMillis() >= job.firstSentMillis + giveUpMillis;
    if (isOpen && !isGivenUp) {
      tally.check(
          false,
          missing.atMillis(),
          missing.node(),
          missing.item(),
          () -> "the body of an open item is answered " + missing.status());
    }
  }

  /** What was read of one job, by position. */
  private static final class Positions {
    private record Known(Result result, long atMillis) {}

    private final JobRecord job;
    private final Map<Integer, Known> byPosition = new HashMap<>();
    private final Map<String, Integer> byItem = new HashMap<>();

    Positions(JobRecord job) {
      this.job = job;
    }

    boolean isKnownSince(int position, long atMillis) {
      Known known = byPosition.get(position);
      return known != null && known.atMillis() <= atMillis;
    }

    void see(ResultsRead read, Result result, Tally tally) {
      Known known =
          byPosition.computeIfAbsent(
              result.position(), ignored -> new Known(result, read.atMillis()));
      int place = byItem.computeIfAbsent(result.item(), ignored -> result.position());
      check(known.result().equals(result), read, tally, () -> changed(known.result(), result));
      check(
          place == result.position(),
          read,
          tally,
          () -> "item " + result.item() + " is at " + place + " and at " + result.position());
      check(
          job.items().containsKey(result.item()),
          read,
          tally,
          () -> "item " + result.item() + " is not of this job");
    }

    private static void check(
        boolean isKept, ResultsRead read, Tally tally, Supplier<String> text) {
      tally.check(isKept, read.atMillis(), read.node(), read.job(), text);
    }

    private static String changed(Result before, Result now) {
      return "position "
          + now.position()
          + " held item "
          + before.item()
          + " ("
          + before.text()
          + ") and holds item "
          + now.item()
          + " ("
          + now.text()
          + ")";
    }
  }
}
