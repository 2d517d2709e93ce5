package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.crash.CrashTable.RequestDecision;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.spi.BackEndService.Call;

/**
 * Decides whether one request may be sent, given the servers that crashed while they ran it, and
 * records the results of its runs. A quarantined request is held back until a trial is due, and
 * runs only in trials.
 */
final class CrashGuard {
  private final CrashTracker crashes;
  private final Call call;

  /** Computed on first use only, since most requests never need it. */
  private String fingerprint;

  private boolean isInTrial;
  private boolean isClaiming;
  private boolean isHeldBack;
  private long heldUntilMillis = Long.MIN_VALUE;

  CrashGuard(CrashTracker crashes, Call call) {
    this.crashes = Objects.requireNonNull(crashes, "crashes");
    this.call = Objects.requireNonNull(call, "call");
  }

  private String fingerprint() {
    if (fingerprint == null) {
      fingerprint = CrashTracker.fingerprintOf(call);
    }
    return fingerprint;
  }

  /**
   * Returns whether the request may be sent to a server now.
   *
   * @param isRunning whether a server runs it already
   * @param whenClaimed runs once a trial is claimed or denied; see {@link #isClaiming}
   */
  boolean mayRun(boolean isRunning, Runnable whenClaimed) {
    if (crashes.hasNoSuspects() || isInTrial) {
      return true;
    }
    RequestDecision decision = crashes.decide(fingerprint());
    if (decision instanceof RequestDecision.TrialDue due && !isRunning) {
      isClaiming = true;
      crashes
          .claimTrial(fingerprint(), due.number())
          .subscribe()
          .with(ignored -> onClaimed(whenClaimed));
    }
    updateHeldBack(decision);
    return decision instanceof RequestDecision.Unsuspected
        || (decision instanceof RequestDecision.SingleServer && !isRunning);
  }

  private void updateHeldBack(RequestDecision decision) {
    isHeldBack =
        decision instanceof RequestDecision.Quarantined
            || decision instanceof RequestDecision.TrialDue;
    if (decision instanceof RequestDecision.Quarantined held) {
      heldUntilMillis = held.untilMillis();
    }
  }

  private void onClaimed(Runnable whenClaimed) {
    isClaiming = false;
    isInTrial = crashes.takeTrial(fingerprint());
    updateHeldBack(crashes.decide(fingerprint()));
    whenClaimed.run();
  }

  /** Returns whether a claim of the due trial is pending. */
  boolean isClaiming() {
    return isClaiming;
  }

  /** Returns whether this node holds the trial and no server has run the request in it yet. */
  boolean isInTrial() {
    return isInTrial;
  }

  /** Returns whether the last decision held the request back. */
  boolean isHeldBack() {
    return isHeldBack;
  }

  /** Returns when the next trial of a quarantined request is due, in monotonic milliseconds. */
  long heldUntilMillis() {
    return heldUntilMillis;
  }

  /** Records the outcome of an attempt that a server answered. */
  void onAnswered(Outcome outcome) {
    boolean isServerHealthy = outcome == Outcome.SUCCESS || outcome == Outcome.FINAL;
    if (isServerHealthy && !crashes.hasNoSuspects()) {
      crashes.onSucceeded(fingerprint());
    }
    isInTrial &= outcome == Outcome.NOT_RUN;
  }

  /**
   * Records an attempt that ended without an answer. Completes when it is known whether the server
   * crashed, or the check timed out; the next attempt must wait for that.
   */
  Uni<Void> onOutcomeUnknown(ServerEntry server) {
    isInTrial = false;
    return crashes.onInterrupted(fingerprint(), server);
  }

  /** Gives back an unused trial when the request is over. */
  void close(boolean isRunning) {
    if (isInTrial && !isRunning) {
      crashes.returnTrial(fingerprint());
    }
  }
}
