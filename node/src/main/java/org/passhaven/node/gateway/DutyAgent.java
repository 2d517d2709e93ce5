package org.passhaven.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.member.BeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.duty.DutyRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the {@link DutyLease} and lets the duties act at the node that holds it. There is one
 * lease for all of them: what a change of hands costs is the wait, and it is the same for one duty
 * or many.
 */
final class DutyAgent {
  private static final Logger LOG = LoggerFactory.getLogger(DutyAgent.class);
  private static final String STREAM = "orders.0";

  /** Below the spacing of candidates, so that nobody is overtaken by one who looks later. */
  private static final long STANDBY_MILLIS = 300;

  /**
   * News of loads comes in batches to who runs jobs or may order next; servers' entries are older.
   */
  private static final long STANDBY_READ_MILLIS = 150;

  /** Below the silence of a holder that is alive after which the first candidate claims. */
  private static final long IDLE_READ_MILLIS = 1_000;

  /** Candidates behind these are patient for longer than {@link #IDLE_READ_MILLIS}. */
  private static final int CLOSE_CANDIDATES = 4;

  private final GatewayContext context;
  private final MemberAgent members;
  private final JobLog jobs;
  private final DutyLease lease;
  private final LogTail tail;
  private final List<Duty> duties = new ArrayList<>();
  private long clockGapsSeen;
  private long decidedAtMillis = Long.MIN_VALUE / 2;
  private boolean wasHolder;
  private boolean stopping;
  private int callsUnderWay;
  private long unansweredAtMillis = Long.MIN_VALUE / 2;

  /** Creates the agent; {@link #start} begins. */
  DutyAgent(GatewayContext context, MemberAgent members, JobLog jobs) {
    this.context = Objects.requireNonNull(context, "context");
    this.members = Objects.requireNonNull(members, "members");
    this.jobs = Objects.requireNonNull(jobs, "jobs");
    GatewaySettings settings = context.settings();
    this.lease = new DutyLease(settings.node(), context.incarnation(), settings.lease());
    this.tail =
        new LogTail(context.log(), context.timers(), STREAM, this::pauseMillis, new LeaseReader());
  }

  /** Adds a duty; before {@link #start}. */
  void add(Duty duty) {
    duties.add(Objects.requireNonNull(duty, "duty"));
  }

  /** Begins to follow the lease and, as its holder, to act. */
  void start() {
    tail.start(0);
    context.timers().every(context.settings().tick().toMillis(), this::decide);
    jobs.addOwnerListener(tail::hurry);
  }

  /** What this node waits for may never come: reads are begun anew. */
  void renew() {
    tail.renew();
  }

  /** Whether this node holds the lease, as far as it knows. */
  boolean isHolder() {
    return lease.isHolder();
  }

  /** Whether a call may be sent at this very moment. */
  boolean mayAct() {
    return !stopping && lease.mayAct(now());
  }

  /** Fencing token of the holder's calls. */
  long epoch() {
    return lease.epoch();
  }

  /** Acts no more, and says so once all calls under way are answered. */
  void stop() {
    stopping = true;
    releaseIfDone();
  }

  /** A call of a duty is sent. */
  void onCallSent() {
    callsUnderWay++;
  }

  /** A call of a duty was answered: it is no longer on its way. */
  void onCallAnswered() {
    callsUnderWay--;
    releaseIfDone();
  }

  /** A call got no answer and may still be on its way: the lease can't be given up early. */
  void onCallUnanswered() {
    callsUnderWay--;
    unansweredAtMillis = context.now();
  }

  private void releaseIfDone() {
    long sinceUnanswered = context.now() - unansweredAtMillis;
    boolean allArrived = sinceUnanswered >= context.settings().lease().handOverMillis();
    if (stopping && callsUnderWay == 0 && allArrived) {
      lease.release().ifPresent(this::append);
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
    lease.onRecord(record, now());
    duties.forEach(duty -> duty.onRecord(record));
    if (!(record instanceof DutyRecord.Reached)) {
      afterChange();
    }
  }

  private void onGap(long nextOffset) {
    LOG.atWarn()
        .addKeyValue("epoch", lease.epoch())
        .addKeyValue("holder", lease.holder())
        .addKeyValue("next", nextOffset)
        .log("duties: records are gone, the holder is unknown");
    lease.onGap(nextOffset);
    afterChange();
  }

  private void afterChange() {
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

  private long pauseMillis() {
    if (lease.isHolder()) {
      return 0;
    }
    return jobs.isRunner() || rank() < CLOSE_CANDIDATES ? STANDBY_READ_MILLIS : IDLE_READ_MILLIS;
  }

  /** Asked before each call: by then a suspension has ended the lease. */
  private long now() {
    long now = context.now();
    long gaps = context.timers().clockGaps().count();
    if (gaps != clockGapsSeen) {
      clockGapsSeen = gaps;
      lease.onClockGap();
    }
    return now;
  }

  /** Who neither acts nor is about to take over looks less often whether something is due. */
  private boolean isOnStandby(long nowMillis) {
    return !lease.isHolder()
        && members.beats().isTaking(lease.holder(), lease.holderIncarnation())
        && nowMillis - decidedAtMillis < STANDBY_MILLIS;
  }

  /** Looks what is due now. */
  void decide() {
    if (stopping || !tail.isCaughtUp()) {
      return;
    }
    long now = now();
    if (isOnStandby(now)) {
      return;
    }
    decidedAtMillis = now;
    // Whether another holder is alive needs no watching where this node itself was the holder.
    boolean isFormerHolder = lease.holder().equals(context.settings().node());
    boolean mayClaim = members.isSettled() || (isFormerHolder && members.isInTouch());
    boolean needed = mayClaim && duties.stream().anyMatch(duty -> duty.isNeeded(now));
    BeatTable beats = members.beats();
    boolean holderAlive =
        beats.isTaking(lease.holder(), lease.holderIncarnation())
            || (lease.isFresh(now) && !beats.isOver(lease.holder(), lease.holderIncarnation()));
    lease.next(needed, holderAlive, rank(), now).ifPresent(this::append);
    if (lease.mayAct(now)) {
      duties.forEach(duty -> duty.act(now));
    }
  }

  /**
   * Place among the candidates. The node that held the lease before it was started anew comes
   * first: it alone need not wait for calls of its earlier start.
   */
  private int rank() {
    String node = context.settings().node();
    if (lease.holder().equals(node)) {
      return 0;
    }
    int behindHolder = members.beats().isTaking(lease.holder()) ? 1 : 0;
    return behindHolder + members.beats().rankByYouth(node);
  }

  /** Writes a record of the holder's; the stream tells what became of it. */
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
