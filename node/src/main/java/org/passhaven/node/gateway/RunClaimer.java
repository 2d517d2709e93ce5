package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Claims ownership of runs for this node by appending claims to the log. */
final class RunClaimer {
  private static final Logger LOG = LoggerFactory.getLogger(RunClaimer.class);
  private final MembershipAgent members;
  private final JobLog log;
  private boolean stopped;

  RunClaimer(MembershipAgent members, JobLog log) {
    this.members = Objects.requireNonNull(members, "members");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Stops claiming runs. */
  void stop() {
    stopped = true;
  }

  /**
   * Claims runs that have lost their owner while none of their jobs is open, so that their next job
   * does not wait for the claim and for the former owner's texts. Only standby nodes do so, since
   * others might not have read a newer claim yet. Runs without retained jobs are skipped, as their
   * claims would be renewed forever.
   */
  void claimRunsWithoutOpenJobs() {
    log.owners().runs().stream()
        .filter(run -> log.table().hasJobsOf(run))
        .filter(run -> log.isCaughtUp(run) && log.isStandby(run))
        .forEach(this::claim);
  }

  /** Claims a run if this node is its next owner. */
  void claim(String run) {
    boolean isOwnershipKnown =
        members.isMembershipKnown() || log.owners().isOwnerGone(run, members.heartbeats());
    if (stopped || !members.isLogReachable() || !isOwnershipKnown) {
      return;
    }
    Optional<JobRecord.RunClaimed> claim = log.claim(run);
    if (claim.isPresent()) {
      LOG.atInfo()
          .addKeyValue("run", run)
          .addKeyValue("epoch", claim.get().epoch())
          .addKeyValue("live", members.heartbeats().acceptingNodes().size())
          .log("job: run claimed");
      append(claim.get());
    }
  }

  private void append(JobRecord.RunClaimed claim) {
    JobRecord record = claim;
    log.append(log.streamOf(claim.run()), List.of(Codec.encode(record)))
        .subscribe()
        .with(
            // Reads the claim back without waiting for the next poll.
            offset -> log.refresh(claim.run()).subscribe().with(isSure -> {}),
            failure ->
                LOG.atInfo()
                    .addKeyValue("run", claim.run())
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("job: appending a run claim failed"));
  }
}
