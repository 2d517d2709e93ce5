package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.Objects;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.crash.CrashTable.Verdict;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.spi.BackEndService.Call;

/** Whether one request may run, by what it has done to servers; and what its own runs tell. */
final class ForwardGate {
  private final CrashLog crashes;
  private final Call call;

  /** Made when it is first needed: on the ordinary path it never is. */
  private String fingerprint;

  private boolean isInTrial;
  private boolean isClaiming;
  private boolean isHeld;
  private long heldUntilMillis = Long.MIN_VALUE;

  ForwardGate(CrashLog crashes, Call call) {
    this.crashes = Objects.requireNonNull(crashes, "crashes");
    this.call = Objects.requireNonNull(call, "call");
  }

  private String fingerprint() {
    if (fingerprint == null) {
      fingerprint = CrashLog.fingerprintOf(call);
    }
    return fingerprint;
  }

  /**
   * Whether a server may begin the request now.
   *
   * @param isRunning whether one runs it already
   * @param whenClaimed run later if a trial is claimed first: see {@link #isClaiming}
   */
  boolean mayRun(boolean isRunning, Runnable whenClaimed) {
    if (crashes.isQuiet() || isInTrial) {
      return true;
    }
    Verdict verdict = crashes.verdict(fingerprint());
    if (verdict instanceof Verdict.TrialDue due && !isRunning) {
      isClaiming = true;
      crashes
          .claimTrial(fingerprint(), due.number())
          .subscribe()
          .with(ignored -> onClaimed(whenClaimed));
    }
    note(verdict);
    return verdict instanceof Verdict.Clear || (verdict instanceof Verdict.Alone && !isRunning);
  }

  private void note(Verdict verdict) {
    isHeld = verdict instanceof Verdict.Held || verdict instanceof Verdict.TrialDue;
    if (verdict instanceof Verdict.Held held) {
      heldUntilMillis = held.untilMillis();
    }
  }

  private void onClaimed(Runnable whenClaimed) {
    isClaiming = false;
    isInTrial = crashes.takeTrial(fingerprint());
    note(crashes.verdict(fingerprint()));
    whenClaimed.run();
  }

  /** Whether it is not known yet who has the trial that is due. */
  boolean isClaiming() {
    return isClaiming;
  }

  /** Whether this node has the trial, and no server has run the request in it so far. */
  boolean isInTrial() {
    return isInTrial;
  }

  /** Whether the request was held back when this was last asked. */
  boolean isHeld() {
    return isHeld;
  }

  /** When the next trial is due, for a request that is held back. */
  long heldUntilMillis() {
    return heldUntilMillis;
  }

  /** A server has answered. */
  void onAnswered(Outcome outcome) {
    boolean isSound = outcome == Outcome.SUCCESS || outcome == Outcome.FINAL;
    if (isSound && !crashes.isQuiet()) {
      crashes.onSound(fingerprint());
    }
    isInTrial &= outcome == Outcome.NOT_RUN;
  }

  /**
   * A run broke off. Gives a result when it is known whether the server has ended, or can't be
   * known soon: where the next run goes, and whether there is one, depends on it.
   */
  Uni<Void> onBroken(ServerEntry server) {
    isInTrial = false;
    return crashes.onBroken(fingerprint(), server);
  }

  /** The request is over. */
  void close(boolean isRunning) {
    if (isInTrial && !isRunning) {
      crashes.giveTrialBack(fingerprint());
    }
  }
}
