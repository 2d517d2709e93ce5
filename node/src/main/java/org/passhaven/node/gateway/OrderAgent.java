package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.member.BeatTable;
import org.passhaven.core.order.OrderLease;
import org.passhaven.core.order.VersionOrderPlanner;
import org.passhaven.core.order.VersionOrderPlanner.Wanted;
import org.passhaven.core.order.WeightDemand;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.order.OrderRecord;
import org.passhaven.spi.BackEndService.Order;
import org.passhaven.spi.BackEndService.OrderOutcome;
import org.passhaven.spi.BackEndService.Report;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings servers to the newest named weight versions, as the one node that holds the {@link
 * OrderLease}. A server's report is read before each order, and the order names the sequence that
 * the report gave, so an order that is carried out late comes to nothing once another was taken.
 */
public final class OrderAgent {
  private static final Logger LOG = LoggerFactory.getLogger(OrderAgent.class);
  private static final String STREAM = "orders.0";
  private static final long CALL_LIMIT_MILLIS = 700;
  private static final long LOOK_AGAIN_MILLIS = 150;
  private static final long LOAD_MILLIS = 850;
  private static final long LOAD_LIMIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 400;
  private static final long UNREACHABLE_MILLIS = 1_500;

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
  private final Directory directory;
  private final MemberAgent members;
  private final JobLog jobs;
  private final OrderLease lease;
  private final VersionOrderPlanner planner;
  private final LogTail tail;
  private long clockGapsSeen;
  private long decidedAtMillis = Long.MIN_VALUE / 2;
  private boolean wasHolder;
  private boolean stopping;
  private int ordersUnderWay;
  private long unansweredAtMillis = Long.MIN_VALUE / 2;

  /** Creates the agent; {@link #start} begins. */
  public OrderAgent(GatewayContext context, Directory directory, MemberAgent members, JobLog jobs) {
    this.context = Objects.requireNonNull(context, "context");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.members = Objects.requireNonNull(members, "members");
    this.jobs = Objects.requireNonNull(jobs, "jobs");
    GatewaySettings settings = context.settings();
    this.lease = new OrderLease(settings.node(), context.incarnation(), settings.lease());
    this.planner = new VersionOrderPlanner(settings.loads());
    this.tail =
        new LogTail(context.log(), context.timers(), STREAM, this::pauseMillis, new LeaseReader());
  }

  /** Begins to follow the lease and, as its holder, to order. */
  public void start() {
    tail.start(0);
    context.timers().every(context.settings().tick().toMillis(), this::decide);
    directory.addListener(this::decide);
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

  /** Orders nothing more, and says so once all orders under way are answered. */
  public void stop() {
    stopping = true;
    releaseIfDone();
  }

  private void releaseIfDone() {
    long sinceUnanswered = context.now() - unansweredAtMillis;
    boolean allArrived = sinceUnanswered >= context.settings().lease().handOverMillis();
    if (stopping && ordersUnderWay == 0 && allArrived) {
      lease.release().ifPresent(this::append);
    }
  }

  private void onRecord(byte[] bytes) {
    try {
      OrderRecord record = Codec.decode(bytes, OrderRecord.class);
      lease.onRecord(record, now());
      if (record instanceof OrderRecord.Reached reached) {
        directory.onReached(
            new ServerStart(reached.server(), reached.serverBornMillis()),
            reached.model(),
            reached.version());
        return;
      }
    } catch (CodecException e) {
      lease.onUnreadable();
      LOG.atError().addKeyValue("reason", e.getMessage()).log("orders: a record can't be read");
      return;
    }
    afterChange();
  }

  private void onGap(long nextOffset) {
    LOG.atWarn()
        .addKeyValue("epoch", lease.epoch())
        .addKeyValue("holder", lease.holder())
        .addKeyValue("next", nextOffset)
        .log("orders: records are gone, the holder is unknown");
    lease.onGap(nextOffset);
    afterChange();
  }

  private void afterChange() {
    if (lease.isHolder() != wasHolder) {
      wasHolder = lease.isHolder();
      planner.reset();
      LOG.atInfo()
          .addKeyValue("epoch", lease.epoch())
          .addKeyValue("holder", lease.holder())
          .log(wasHolder ? "orders: lease taken" : "orders: lease lost");
    }
    decide();
  }

  private long pauseMillis() {
    if (lease.isHolder()) {
      return 0;
    }
    return jobs.isRunner() || rank() < CLOSE_CANDIDATES ? STANDBY_READ_MILLIS : IDLE_READ_MILLIS;
  }

  /** Asked before each order: by then a suspension has ended the lease. */
  private long now() {
    long now = context.now();
    long gaps = context.timers().clockGaps().count();
    if (gaps != clockGapsSeen) {
      clockGapsSeen = gaps;
      lease.onClockGap();
    }
    return now;
  }

  /** Who neither orders nor is about to take over looks less often whether orders are due. */
  private boolean isOnStandby(long nowMillis) {
    return !lease.isHolder()
        && members.beats().isTaking(lease.holder(), lease.holderIncarnation())
        && nowMillis - decidedAtMillis < STANDBY_MILLIS;
  }

  private void decide() {
    if (stopping || !tail.isCaughtUp()) {
      return;
    }
    long now = now();
    if (isOnStandby(now)) {
      return;
    }
    decidedAtMillis = now;
    WeightDemand demand = new WeightDemand(directory.newestVersions(), jobs.openItemsByModel());
    // Whether another holder is alive needs no watching where this node itself was the holder.
    boolean isFormerHolder = lease.holder().equals(context.settings().node());
    boolean mayAct = members.isSettled() || (isFormerHolder && members.isInTouch());
    boolean needed = mayAct && planner.isNeeded(directory.servers().all(), demand, now);
    BeatTable beats = members.beats();
    boolean holderAlive =
        beats.isTaking(lease.holder(), lease.holderIncarnation())
            || (lease.isFresh(now) && !beats.isOver(lease.holder(), lease.holderIncarnation()));
    int rank = rank();
    Optional<OrderRecord> record = lease.next(needed, holderAlive, rank, now);
    record.ifPresent(this::append);
    if (lease.mayOrder(now)) {
      planner.begin(directory.servers().all(), demand, now).forEach(this::look);
    }
  }

  /**
   * Place among the candidates. The node that held the lease before it was started anew comes
   * first: it alone need not wait for orders of its earlier start.
   */
  private int rank() {
    String node = context.settings().node();
    if (lease.holder().equals(node)) {
      return 0;
    }
    int behindHolder = members.beats().isTaking(lease.holder()) ? 1 : 0;
    return behindHolder + members.beats().rankByYouth(node);
  }

  private void append(OrderRecord record) {
    if (record instanceof OrderRecord.Claimed claim) {
      LOG.atInfo()
          .addKeyValue("epoch", claim.epoch())
          .addKeyValue("before", lease.holder())
          .log("orders: lease claimed");
    } else if (record instanceof OrderRecord.Released release) {
      LOG.atInfo().addKeyValue("epoch", release.epoch()).log("orders: lease released");
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
                    .log("orders: an append failed"));
  }

  /** Asks a server what it serves, then orders it on. */
  private void look(Wanted wanted) {
    context
        .backEnds()
        .report(ServerTargets.of(wanted.server()), CALL_LIMIT_MILLIS)
        .subscribe()
        .with(report -> onReport(wanted, report), failure -> unreachable(wanted, failure));
  }

  private void onReport(Wanted wanted, Report report) {
    if (isOfOtherStart(wanted, report)) {
      fail(wanted, "another start of the server answered");
    } else if (report.versions().getOrDefault(wanted.model(), 0L) >= wanted.version()) {
      done(wanted);
    } else if (report.busy()) {
      fail(wanted, "another order is under way");
    } else {
      order(wanted, report.sequence());
    }
  }

  /** What another start says of its weights and orders is not true of the one that is wanted. */
  private static boolean isOfOtherStart(Wanted wanted, Report report) {
    return report.bornMillis() != wanted.server().start().bornMillis();
  }

  private void order(Wanted wanted, long sequence) {
    if (stopping || !lease.mayOrder(now())) {
      fail(wanted, "the lease is not valid now");
      return;
    }
    Order order =
        new Order(
            wanted.model(), wanted.version(), context.settings().node(), lease.epoch(), sequence);
    LOG.atInfo()
        .addKeyValue("server", wanted.server().start())
        .addKeyValue("model", wanted.model())
        .addKeyValue("version", wanted.version())
        .addKeyValue("fence", lease.epoch())
        .addKeyValue("sequence", sequence)
        .log("orders: version ordered");
    context.metrics().ordersSent.increment();
    ordersUnderWay++;
    context
        .backEnds()
        .order(ServerTargets.of(wanted.server()), order, CALL_LIMIT_MILLIS)
        .subscribe()
        .with(
            outcome -> {
              ordersUnderWay--;
              onOrdered(wanted, outcome);
              releaseIfDone();
            },
            failure -> {
              ordersUnderWay--;
              // It may still be on its way, so the lease can't be given up early any more.
              unansweredAtMillis = context.now();
              unreachable(wanted, failure);
            });
  }

  private void onOrdered(Wanted wanted, OrderOutcome outcome) {
    if (outcome == OrderOutcome.IN_EFFECT) {
      done(wanted);
    } else if (outcome == OrderOutcome.STARTED) {
      long until = context.now() + LOAD_LIMIT_MILLIS;
      context.timers().after(LOAD_MILLIS, () -> watch(wanted, until));
    } else {
      fail(wanted, "the server answered " + outcome);
    }
  }

  /** Looks whether a load has ended. */
  private void watch(Wanted wanted, long untilMillis) {
    ServerEntry entry = directory.servers().get(wanted.server().start());
    if (entry != null && entry.versionOf(wanted.model()) >= wanted.version()) {
      done(wanted);
      return;
    }
    if (entry == null || context.now() >= untilMillis) {
      fail(wanted, "the load did not end");
      return;
    }
    context
        .backEnds()
        .report(ServerTargets.of(wanted.server()), CALL_LIMIT_MILLIS)
        .subscribe()
        .with(
            report -> onWatched(wanted, report, untilMillis),
            failure -> context.timers().after(LOOK_AGAIN_MILLIS, () -> watch(wanted, untilMillis)));
  }

  private void onWatched(Wanted wanted, Report report, long untilMillis) {
    if (isOfOtherStart(wanted, report)) {
      fail(wanted, "the server started anew while it loaded");
    } else if (report.versions().getOrDefault(wanted.model(), 0L) >= wanted.version()) {
      done(wanted);
    } else {
      context.timers().after(LOOK_AGAIN_MILLIS, () -> watch(wanted, untilMillis));
    }
  }

  private void done(Wanted wanted) {
    ServerStart server = wanted.server().start();
    directory.onReached(server, wanted.model(), wanted.version());
    append(
        new OrderRecord.Reached(
            lease.epoch(),
            context.settings().node(),
            context.incarnation(),
            server.id(),
            server.bornMillis(),
            wanted.model(),
            wanted.version()));
    planner.onDone(server);
    decide();
  }

  private void unreachable(Wanted wanted, Throwable failure) {
    logNotDone(wanted, failure.getMessage());
    planner.onUnreachable(wanted.server().start(), context.now() + UNREACHABLE_MILLIS);
  }

  private void fail(Wanted wanted, String reason) {
    logNotDone(wanted, reason);
    planner.onFailed(wanted.server().start(), context.now() + RETRY_MILLIS);
  }

  private static void logNotDone(Wanted wanted, String reason) {
    LOG.atInfo()
        .addKeyValue("server", wanted.server().start())
        .addKeyValue("model", wanted.model())
        .addKeyValue("version", wanted.version())
        .addKeyValue("reason", reason)
        .log("orders: not done");
  }

  private final class LeaseReader implements LogTail.Listener {
    @Override
    public void onRecord(byte[] record) {
      OrderAgent.this.onRecord(record);
    }

    @Override
    public void onGap(long nextOffset) {
      OrderAgent.this.onGap(nextOffset);
    }
  }
}
