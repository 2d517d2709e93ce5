package org.passhaven.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Competes for the {@link DutyLease} and runs all duties while this node holds it. All duties share
 * one lease, since the cost of a change of holder is the wait, which is the same for one duty or
 * many. Not thread-safe: used on the node's event loop.
 */
final class DutyAgent {
  private static final Logger LOG = LoggerFactory.getLogger(DutyAgent.class);
  private static final String STREAM = "orders.0";

  /** Shorter than the claim delay between candidates, so that they claim in order of their rank. */
  private static final long STANDBY_DECISION_INTERVAL_MILLIS = 300;

  /** Pause between reads on nodes that own a run or may claim the lease next. */
  private static final long STANDBY_READ_PAUSE_MILLIS = 150;

  /** Shorter than the silence of a live holder after which the first candidate claims the lease. */
  private static final long IDLE_READ_PAUSE_MILLIS = 1_000;

  /**
   * Candidates of a higher rank wait longer than {@link #IDLE_READ_PAUSE_MILLIS} before they claim.
   */
  private static final int FAST_READ_CANDIDATES = 4;

  private final GatewayContext context;
  private final MembershipAgent members;
  private final JobLog jobs;
  private final DutyLease lease;
  private final LogTail tail;
  private final List<Duty> duties = new ArrayList<>();
  private long knownClockJumps;
  private long lastDecisionMillis = Long.MIN_VALUE / 2;
  private boolean wasHolder;
  private boolean isStopping;
  private boolean isReleased;
  private int callsInFlight;
  private long lastUnansweredMillis = Long.MIN_VALUE / 2;

  /** Creates an agent; {@link #start} begins its work. */
  DutyAgent(GatewayContext context, MembershipAgent members, JobLog jobs) {
    this.context = Objects.requireNonNull(context, "context");
    this.members = Objects.requireNonNull(members, "members");
    this.jobs = Objects.requireNonNull(jobs, "jobs");
    GatewaySettings settings = context.settings();
    this.lease = new DutyLease(settings.node(), context.incarnation(), settings.lease());
    this.tail =
        new LogTail(
            context.log(), context.timers(), STREAM, this::readPauseMillis, new LeaseReader());
  }

  /** Adds a duty. Must be called before {@link #start}. */
  void add(Duty duty) {
    duties.add(Objects.requireNonNull(duty, "duty"));
  }

  /** Starts following the lease and, while this node holds it, running the duties. */
  void start(DecisionTick tick) {
    tail.start(0);
    tick.add(this::decide);
    jobs.addOwnerListener(tail::endReadPause);
  }

  /** Restarts pending reads, which may never complete after a suspension of the process. */
  void restartReads() {
    tail.restartReads();
  }

  /** Returns whether this node holds the lease according to the records read so far. */
  boolean isHolder() {
    return lease.isHolder();
  }

  /** Returns whether the node that holds the lease is alive as far as this node knows. */
  boolean isHolderAlive(long nowMillis) {
    HeartbeatTable heartbeats = members.heartbeats();
    return heartbeats.isAccepting(lease.holder(), lease.holderIncarnation())
        || (lease.isRecentlyActive(nowMillis)
            && !heartbeats.hasEnded(lease.holder(), lease.holderIncarnation()));
  }

  /** Returns whether the lease is valid now, so that a call may be sent. */
  boolean mayAct() {
    return !isStopping && lease.mayOrder(nowMillis());
  }

  /** Returns the epoch of the lease, which is the fencing token of the holder's calls. */
  long epoch() {
    return lease.epoch();
  }

  /** Stops the duties, and releases the lease once all calls in flight are answered. */
  void stop() {
    isStopping = true;
    releaseIfDone();
  }

  /** Counts a call that a duty sends. */
  void onCallSent() {
    callsInFlight++;
  }

  /** Records that a call was answered and is no longer in flight. */
  void onCallAnswered() {
    callsInFlight--;
    releaseIfDone();
  }

  /**
   * Records that a call got no answer. It may still be in flight, so the lease is not released
   * early.
   */
  void onCallUnanswered() {
    callsInFlight--;
    lastUnansweredMillis = context.nowMillis();
    context.timers().after(context.settings().lease().handoverMillis(), this::releaseIfDone);
  }

  private void releaseIfDone() {
    long sinceUnanswered = context.nowMillis() - lastUnansweredMillis;
    boolean allArrived = sinceUnanswered >= context.settings().lease().handoverMillis();
    if (isStopping && !isReleased && callsInFlight == 0 && allArrived) {
      isReleased = true;
      lease.releaseRecord().ifPresent(this::append);
    }
  }

  private void onRecord(byte[] bytes) {
    DutyRecord record;
    try {
      record = Codec.decode(bytes, DutyRecord.class);
    } catch (CodecException e) {
      lease.onUnreadable();
      LOG.atError().addKeyValue("reason", e.getMessage()).log("duties: a record can't be read");
      return;
    }
    lease.onRecord(record, nowMillis());
    duties.forEach(duty -> duty.onRecord(record));
    if (!(record instanceof DutyRecord.Reached)) {
      onLeaseChanged();
    }
  }

  private void onGap(long nextOffset) {
    LOG.atWarn()
        .addKeyValue("epoch", lease.epoch())
        .addKeyValue("holder", lease.holder())
        .addKeyValue("next", nextOffset)
        .log("duties: records are gone, the holder is unknown");
    lease.onGap(nextOffset);
    onLeaseChanged();
  }

  private void onLeaseChanged() {
    if (lease.isHolder() != wasHolder) {
      wasHolder = lease.isHolder();
      LOG.atInfo()
          .addKeyValue("epoch", lease.epoch())
          .addKeyValue("holder", lease.holder())
          .log(wasHolder ? "duties: lease taken" : "duties: lease lost");
      context.metrics().leaseChanges.increment();
      duties.forEach(duty -> duty.onHolderChanged(wasHolder));
    }
    decide();
  }

  private long readPauseMillis() {
    if (lease.isHolder()) {
      return 0;
    }
    return jobs.ownsAnyRun() || candidateRank() < FAST_READ_CANDIDATES
        ? STANDBY_READ_PAUSE_MILLIS
        : IDLE_READ_PAUSE_MILLIS;
  }

  /** Returns the current time, after invalidating the lease if the process was suspended. */
  private long nowMillis() {
    long now = context.nowMillis();
    long jumps = context.timers().clockJumps().count();
    if (jumps != knownClockJumps) {
      knownClockJumps = jumps;
      lease.onClockJump();
    }
    return now;
  }

  /** Returns whether this decision can be skipped: another live node holds the lease. */
  private boolean isOnStandby(long nowMillis) {
    return !lease.isHolder()
        && members.heartbeats().isAccepting(lease.holder(), lease.holderIncarnation())
        && nowMillis - lastDecisionMillis < STANDBY_DECISION_INTERVAL_MILLIS;
  }

  /** Claims or renews the lease if needed, and runs the duties if this node holds it. */
  void decide() {
    if (isStopping || !tail.isCaughtUp()) {
      return;
    }
    long now = nowMillis();
    if (isOnStandby(now)) {
      return;
    }
    lastDecisionMillis = now;
    // The former holder need not know the liveness of other nodes, since none of them held the
    // lease.
    boolean isFormerHolder = lease.holder().equals(context.settings().node());
    boolean mayClaim = members.isMembershipKnown() || (isFormerHolder && members.isLogReachable());
    boolean needed = mayClaim && duties.stream().anyMatch(duty -> duty.isNeeded(now));
    lease.nextRecord(needed, isHolderAlive(now), candidateRank(), now).ifPresent(this::append);
    if (lease.mayOrder(now)) {
      duties.forEach(duty -> duty.act(now));
    }
  }

  /**
   * Returns this node's rank among the candidates. A restarted holder comes first, since only it
   * need not wait for calls sent before its restart.
   */
  private int candidateRank() {
    String node = context.settings().node();
    if (lease.holder().equals(node)) {
      return 0;
    }
    int behindHolder = members.heartbeats().isAccepting(lease.holder()) ? 1 : 0;
    return behindHolder + members.heartbeats().rankByStartTime(node);
  }

  /** Appends a record to the duty stream; it takes effect when it is read back. */
  void append(DutyRecord record) {
    if (record instanceof DutyRecord.Claimed claim) {
      LOG.atInfo()
          .addKeyValue("epoch", claim.epoch())
          .addKeyValue("before", lease.holder())
          .log("duties: lease claimed");
    } else if (record instanceof DutyRecord.Released release) {
      LOG.atInfo().addKeyValue("epoch", release.epoch()).log("duties: lease released");
    }
    context
        .log()
        .append(STREAM, List.of(Codec.encode(record)))
        .subscribe()
        .with(
            offset -> {},
            failure ->
                LOG.atInfo()
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("duties: an append failed"));
  }

  private final class LeaseReader implements LogTail.Listener {
    @Override
    public void onRecord(byte[] record) {
      DutyAgent.this.onRecord(record);
    }

    @Override
    public void onGap(long nextOffset) {
      DutyAgent.this.onGap(nextOffset);
    }
  }
}
