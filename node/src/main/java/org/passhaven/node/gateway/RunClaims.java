package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Claims the runs that this node is to take. */
final class RunClaims {
  private static final Logger LOG = LoggerFactory.getLogger(RunClaims.class);
  private final MemberAgent members;
  private final JobLog log;
  private boolean stopped;

  RunClaims(MemberAgent members, JobLog log) {
    this.members = Objects.requireNonNull(members, "members");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Claims nothing more. */
  void stop() {
    stopped = true;
  }

  /**
   * Claims runs that have lost their runner while none of their jobs is open, so that their next
   * job waits neither for a claim nor for the texts that the former runner left. Only nodes that
   * follow a run's partition closely do so, since others might not see that it was taken. A run
   * whose jobs are all forgotten is not claimed: it is likely over, and its claim would be renewed
   * for ever.
   */
  void claimIdle() {
    log.owners().runs().stream()
        .filter(run -> log.table().hasJobsOf(run))
        .filter(run -> log.isCaughtUp(run) && log.isCloseCandidate(run))
        .forEach(this::claim);
  }

  /** Claims a run if this node is to take it now. */
  void claim(String run) {
    boolean isKnown = members.isSettled() || log.owners().isOwnerOver(run, members.beats());
    if (stopped || !members.isInTouch() || !isKnown) {
      return;
    }
    Optional<JobRecord.RunTaken> claim = log.claim(run);
    if (claim.isPresent()) {
      LOG.atInfo()
          .addKeyValue("run", run)
          .addKeyValue("epoch", claim.get().epoch())
          .addKeyValue("live", members.beats().taking().size())
          .log("job: run claimed");
      append(claim.get());
    }
  }

  private void append(JobRecord.RunTaken claim) {
    JobRecord record = claim;
    log.append(log.streamOf(claim.run()), List.of(Codec.encode(record)))
        .subscribe()
        .with(
            // Read back at once, since followers read with pauses.
            offset -> log.refresh(claim.run()).subscribe().with(isSure -> {}),
            failure ->
                LOG.atInfo()
                    .addKeyValue("run", claim.run())
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("job: a claim failed"));
  }
}
