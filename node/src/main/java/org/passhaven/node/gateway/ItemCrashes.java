package org.passhaven.node.gateway;

import java.util.HashSet;
import java.util.Set;
import org.passhaven.core.crash.CrashTable.Verdict;
import org.passhaven.core.job.ItemGate;
import org.passhaven.core.job.JobAction;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.BackEndException;

/** Keeps items from servers that have crashed servers before. */
final class ItemCrashes implements ItemGate {
  private final CrashLog crashes;
  private final Runnable decideSoon;
  private final Set<String> claiming = new HashSet<>();

  ItemCrashes(CrashLog crashes, Runnable decideSoon) {
    this.crashes = crashes;
    this.decideSoon = decideSoon;
  }

  private static String fingerprintOf(JobSubmission job, JobItem item) {
    return CrashLog.fingerprintOf(JobRunner.callOf(job, item));
  }

  @Override
  public boolean mayBegin(JobSubmission job, JobItem item) {
    if (crashes.isQuiet()) {
      return true;
    }
    String fingerprint = fingerprintOf(job, item);
    if (crashes.takeTrial(fingerprint)) {
      return true;
    }
    Verdict verdict = crashes.verdict(fingerprint);
    if (verdict instanceof Verdict.TrialDue due && claiming.add(fingerprint)) {
      crashes
          .claimTrial(fingerprint, due.number())
          .subscribe()
          .with(ignored -> onClaimed(fingerprint));
    }
    return verdict instanceof Verdict.Clear || verdict instanceof Verdict.Alone;
  }

  private void onClaimed(String fingerprint) {
    claiming.remove(fingerprint);
    decideSoon.run();
  }

  /** A server made an item's whole text. */
  void onWhole(JobAction.Start start) {
    if (!crashes.isQuiet()) {
      crashes.onSound(fingerprintOf(start.job(), start.item()));
    }
  }

  /** A generation ended without its whole text. */
  void onFailed(JobAction.Start start, BackEndException.Kind kind) {
    switch (kind) {
      case CUT ->
          crashes
              .onBroken(fingerprintOf(start.job(), start.item()), start.server())
              .subscribe()
              .with(ignored -> {});
      case REFUSED, MISDIRECTED, UNREACHABLE -> {
        if (!crashes.isQuiet()) {
          crashes.giveTrialBack(fingerprintOf(start.job(), start.item()));
        }
      }
      case SERVER_ERROR, IMPOSSIBLE, SILENT -> {}
    }
  }
}
