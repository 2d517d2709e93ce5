package org.passhaven.node.gateway;

import java.util.HashSet;
import java.util.Set;
import org.passhaven.core.crash.CrashTable.RequestDecision;
import org.passhaven.core.job.ItemGate;
import org.passhaven.core.job.JobAction;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.BackEndException;

/**
 * Holds back batch items whose requests are suspected of crashing servers, until {@link
 * CrashTracker} allows a trial.
 */
final class ItemCrashGate implements ItemGate {
  private final CrashTracker crashes;
  private final Runnable scheduleDecision;
  private final Set<String> pendingClaims = new HashSet<>();

  ItemCrashGate(CrashTracker crashes, Runnable scheduleDecision) {
    this.crashes = crashes;
    this.scheduleDecision = scheduleDecision;
  }

  private static String fingerprintOf(JobSubmission job, JobItem item) {
    return CrashTracker.fingerprintOf(JobRunner.callOf(job, item));
  }

  @Override
  public boolean mayBegin(JobSubmission job, JobItem item) {
    if (crashes.hasNoSuspects()) {
      return true;
    }
    String fingerprint = fingerprintOf(job, item);
    if (crashes.takeTrial(fingerprint)) {
      return true;
    }
    RequestDecision decision = crashes.decide(fingerprint);
    if (decision instanceof RequestDecision.TrialDue due && pendingClaims.add(fingerprint)) {
      crashes
          .claimTrial(fingerprint, due.number())
          .subscribe()
          .with(ignored -> onClaimed(fingerprint));
    }
    return decision instanceof RequestDecision.Unsuspected
        || decision instanceof RequestDecision.SingleServer;
  }

  private void onClaimed(String fingerprint) {
    pendingClaims.remove(fingerprint);
    scheduleDecision.run();
  }

  /** Clears an item of suspicion after a server generated its complete text. */
  void onCompleted(JobAction.Start start) {
    if (!crashes.hasNoSuspects()) {
      crashes.onSucceeded(fingerprintOf(start.job(), start.item()));
    }
  }

  /** Handles a generation that failed before its text was complete. */
  void onFailed(JobAction.Start start, BackEndException.Kind kind) {
    switch (kind) {
      case CUT ->
          crashes
              .onInterrupted(fingerprintOf(start.job(), start.item()), start.server())
              .subscribe()
              .with(ignored -> {});
      case REFUSED, HELD_BACK, MISDIRECTED, UNREACHABLE -> {
        if (!crashes.hasNoSuspects()) {
          crashes.returnTrial(fingerprintOf(start.job(), start.item()));
        }
      }
      case SERVER_ERROR, IMPOSSIBLE, SILENT -> {}
    }
  }
}
