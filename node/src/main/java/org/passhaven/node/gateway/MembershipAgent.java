package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.passhaven.core.member.HeartbeatInterval;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.member.ServerUse;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends this node's heartbeats to the log and reads those of all nodes, to detect which nodes are
 * alive. Not thread-safe: used on the node's event loop.
 */
public final class MembershipAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAgent.class);
  private static final String STREAM = "members.0";

  /** Time after the start in which a node sends heartbeats at the short period. */
  private static final long STARTUP_MILLIS = 5_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  /** Number of records before this node's first heartbeat that are read at the start. */
  private static final long HISTORY_RECORDS = 64;

  /** Time after the first written heartbeat until the membership counts as known. */
  private static final long SETTLE_MILLIS = 1_100;

  private static final long FIRST_HEARTBEAT_RETRY_MILLIS = 100;
  private final GatewayContext context;
  private final DoubleSupplier requestsPerSecond;
  private final BooleanSupplier isDependedOn;
  private final HeartbeatTable heartbeats;
  private final LogTail tail;
  private boolean isFollowing;
  private boolean isHeartbeatInFlight;
  private boolean isAccepting = true;
  private long startedAtMillis;
  private long firstWrittenAtMillis;
  private long lastHeartbeatSentMillis = NEVER_MILLIS;
  private long announcedPeriodMillis;
  private long lastOwnReadMillis = NEVER_MILLIS;
  private long ownHeartbeatsRead;

  /** Offset of the first heartbeat that was sent after the last clock jump and written. */
  private long firstOffsetAfterJump;

  private long knownClockJumps;
  private long clockJumpsAtAppend;
  private List<String> lastLoggedNodes = List.of();
  private boolean isFleetLost;
  private Runnable followingCallback = () -> {};
  private Runnable fleetLostCallback = () -> {};
  private Runnable clockJumpCallback = () -> {};
  private Supplier<List<ServerUse>> serverUse = List::of;
  private Consumer<MemberBeat> otherHeartbeatConsumer = heartbeat -> {};
  private IntSupplier ownedRuns = () -> 0;
  private Runnable heartbeatsReadCallback = () -> {};

  /**
   * Creates an agent; {@link #start} begins its work.
   *
   * @param requestsPerSecond rate of the requests that this node received recently
   * @param isDependedOn whether a failure of this node must be detected quickly
   * @param betweenReadsMillis pause between reads of heartbeats, in milliseconds
   */
  public MembershipAgent(
      GatewayContext context,
      DoubleSupplier requestsPerSecond,
      BooleanSupplier isDependedOn,
      LongSupplier betweenReadsMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.requestsPerSecond = Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    this.isDependedOn = Objects.requireNonNull(isDependedOn, "isDependedOn");
    this.heartbeats =
        new HeartbeatTable(
            context.settings().heartbeatTimeout().toMillis(),
            context.settings().spreadsOverZones());
    this.tail =
        new LogTail(
            context.log(), context.timers(), STREAM, betweenReadsMillis, new HeartbeatReader());
  }

  /**
   * Starts sending heartbeats.
   *
   * @param onFollowing called when the heartbeats of the other nodes were read, or after a failed
   *     heartbeat, since a node that can't write may still read; may be called more than once
   * @param onFleetLost called once if nearly all of the earlier nodes turn out to be dead
   */
  public void start(Runnable onFollowing, Runnable onFleetLost) {
    followingCallback = Objects.requireNonNull(onFollowing, "onFollowing");
    fleetLostCallback = Objects.requireNonNull(onFleetLost, "onFleetLost");
    startedAtMillis = context.nowMillis();
    sendIfDue();
  }

  /** Sets the task that runs after a clock jump, when pending reads may never complete. */
  void onClockJump(Runnable task) {
    clockJumpCallback = Objects.requireNonNull(task, "task");
  }

  /**
   * Sets the source and the consumer of server use reports, which heartbeats carry.
   *
   * @param own returns this node's report; called for each of its heartbeats
   * @param others receives each new heartbeat of another node
   */
  void shareServerUse(Supplier<List<ServerUse>> own, Consumer<MemberBeat> others) {
    serverUse = Objects.requireNonNull(own, "own");
    otherHeartbeatConsumer = Objects.requireNonNull(others, "others");
  }

  /** Sets the source of the number of runs that this node owns, which heartbeats carry. */
  void shareOwnedRuns(IntSupplier own) {
    ownedRuns = Objects.requireNonNull(own, "own");
  }

  /** Sets the task that runs after each batch of heartbeats was read. */
  void onHeartbeatsRead(Runnable task) {
    heartbeatsReadCallback = Objects.requireNonNull(task, "task");
  }

  /** Shortens the heartbeat period and ends the read pause when others start to depend on it. */
  void shortenIntervals() {
    if (currentPeriodMillis() < announcedPeriodMillis) {
      sendIfDue();
    }
    tail.endReadPause();
  }

  /** Returns the heartbeats of all nodes. */
  public HeartbeatTable heartbeats() {
    return heartbeats;
  }

  /** Returns whether a recent heartbeat of this node was written and read back. */
  public boolean isLogReachable() {
    return nowMillis() - lastOwnReadMillis < heartbeats.silenceMillis(announcedPeriodMillis);
  }

  /**
   * Returns the current time. After a clock jump it first discards the earlier heartbeats: liveness
   * is known again only when a heartbeat sent after the jump was read back.
   */
  private long nowMillis() {
    long now = context.nowMillis();
    long jumps = context.timers().clockJumps().count();
    if (jumps != knownClockJumps) {
      knownClockJumps = jumps;
      lastOwnReadMillis = NEVER_MILLIS;
      firstOffsetAfterJump = Long.MAX_VALUE;
      lastHeartbeatSentMillis = NEVER_MILLIS;
      tail.restartReads();
      clockJumpCallback.run();
    }
    return now;
  }

  /** Returns whether heartbeats were read for long enough to know which nodes are alive. */
  public boolean isMembershipKnown() {
    if (isFleetLost) {
      return isLogReachable();
    }
    return isFollowing
        && isLogReachable()
        && context.nowMillis() - firstWrittenAtMillis >= SETTLE_MILLIS;
  }

  /**
   * Returns whether all nodes that were alive before this node's start may be dead. The state ends
   * when this node's second heartbeat is read back, since those of live nodes were read by then, or
   * after a timeout.
   */
  boolean isLivenessUnknown() {
    return isFollowing
        && !isFleetLost
        && ownHeartbeatsRead < 2
        && context.nowMillis() - firstWrittenAtMillis < SETTLE_MILLIS
        && heartbeats.isLossDetectable();
  }

  /** Announces in a heartbeat that this node accepts no new work. */
  public void announceDraining() {
    isAccepting = false;
    append();
  }

  /** Sends a heartbeat if one is due and none is in flight, so as not to overload a slow log. */
  private void sendIfDue() {
    long period = currentPeriodMillis();
    // The other nodes rely on the period announced by the last heartbeat if it is shorter.
    boolean isDue =
        nowMillis() - lastHeartbeatSentMillis >= Math.min(period, announcedPeriodMillis)
            || period < announcedPeriodMillis;
    if (!isHeartbeatInFlight && (isDue || !isFollowing)) {
      append();
    }
  }

  private long currentPeriodMillis() {
    return hasJustStarted() || isDependedOn.getAsBoolean()
        ? context.settings().heartbeatInterval().toMillis()
        : HeartbeatInterval.idleMillis(heartbeats.acceptingNodes().size());
  }

  private void append() {
    isHeartbeatInFlight = true;
    lastHeartbeatSentMillis = nowMillis();
    clockJumpsAtAppend = knownClockJumps;
    announcedPeriodMillis = currentPeriodMillis();
    GatewaySettings settings = context.settings();
    MemberBeat heartbeat =
        new MemberBeat(
            settings.node(),
            settings.address(),
            settings.zone(),
            context.incarnation(),
            isAccepting,
            requestsPerSecond.getAsDouble(),
            announcedPeriodMillis,
            settings.cores(),
            inLogMillis(),
            serverUse.get(),
            ownedRuns.getAsInt());
    context
        .log()
        .append(STREAM, List.of(Codec.encode(heartbeat)))
        .subscribe()
        .with(this::onAppended, this::onAppendFailed);
  }

  /** Returns this node's time in the log, measured from the write of its first heartbeat. */
  private long inLogMillis() {
    return MemberBeat.FIRST_IN_LOG_MILLIS
        + (isFollowing ? context.nowMillis() - firstWrittenAtMillis : 0);
  }

  private void onAppended(long offset) {
    isHeartbeatInFlight = false;
    recordWritten(offset);
    if (isFollowing && context.nowMillis() - firstWrittenAtMillis < SETTLE_MILLIS) {
      // A starting node needs its own heartbeat back to know whether the others are alive.
      tail.endReadPause();
    }
    if (!isFollowing) {
      isFollowing = true;
      firstWrittenAtMillis = context.nowMillis();
      // Starts the period now: before the next own heartbeat those of live nodes are read.
      context.timers().every(context.settings().heartbeatInterval().toMillis(), this::sendIfDue);
      // Reads recent heartbeats first, to find the other nodes at once.
      tail.start(Math.max(0, offset - HISTORY_RECORDS));
    }
  }

  private void recordWritten(long offset) {
    boolean isSentSinceJump = clockJumpsAtAppend == context.timers().clockJumps().count();
    if (firstOffsetAfterJump == Long.MAX_VALUE && isSentSinceJump) {
      firstOffsetAfterJump = offset;
      if (tail.nextOffset() > offset) {
        lastOwnReadMillis = context.nowMillis();
      }
    }
  }

  private void onAppendFailed(Throwable failure) {
    isHeartbeatInFlight = false;
    LOG.debug(
        "members: a heartbeat could not be written: {}",
        PlatformException.from(failure).getMessage());
    if (!isFollowing) {
      // A node that can't write can still read the log, without knowing the other nodes.
      followingCallback.run();
      context.timers().after(FIRST_HEARTBEAT_RETRY_MILLIS, this::sendIfDue);
    }
  }

  private void onRecord(byte[] record) {
    try {
      MemberBeat heartbeat = Codec.decode(record, MemberBeat.class);
      boolean isOwn =
          heartbeat.node().equals(context.settings().node())
              && heartbeat.incarnation() == context.incarnation();
      heartbeats.onHeartbeat(heartbeat, context.nowMillis());
      if (isOwn) {
        onOwnHeartbeatRead();
      } else if (tail.isCaughtUp()) {
        otherHeartbeatConsumer.accept(heartbeat);
      }
    } catch (CodecException e) {
      LOG.warn("members: a record can't be read: {}", e.getMessage());
    }
  }

  private void onOwnHeartbeatRead() {
    long now = nowMillis();
    ownHeartbeatsRead++;
    if (tail.nextOffset() > firstOffsetAfterJump) {
      lastOwnReadMillis = now;
    }
  }

  /** Forgets a lost fleet, so that its old heartbeats in the log delay no takeover. */
  private void detectFleetLoss() {
    if (isFleetLost || !tail.isCaughtUp() || !hasJustStarted()) {
      return;
    }
    if (heartbeats.isFleetLost()) {
      isFleetLost = true;
      context.metrics().fleetLosses.increment();
      int before = heartbeats.acceptingNodes().size();
      heartbeats.removeLostNodes();
      LOG.atInfo()
          .addKeyValue("before", before)
          .addKeyValue("live", heartbeats.acceptingNodes().size())
          .log("members: the fleet was lost");
      fleetLostCallback.run();
    }
  }

  /** Returns whether this node has just started. */
  boolean hasJustStarted() {
    return context.nowMillis() - startedAtMillis < STARTUP_MILLIS;
  }

  private void logChange() {
    List<String> liveNodes = heartbeats.acceptingNodes().stream().map(MemberBeat::node).toList();
    if (tail.isCaughtUp() && !liveNodes.equals(lastLoggedNodes)) {
      lastLoggedNodes = liveNodes;
      LOG.atInfo()
          .addKeyValue("live", liveNodes.size())
          .addKeyValue("nodes", liveNodes)
          .log("members: changed");
    }
  }

  /** Processes heartbeats; membership changes are logged once per batch. */
  private final class HeartbeatReader implements LogTail.Listener {
    @Override
    public void onCaughtUp() {
      followingCallback.run();
    }

    @Override
    public void onRecord(byte[] record) {
      MembershipAgent.this.onRecord(record);
    }

    @Override
    public void onGap(long nextOffset) {
      heartbeats.onGap();
    }

    @Override
    public void onBatchEnd() {
      detectFleetLoss();
      logChange();
      heartbeatsReadCallback.run();
    }
  }
}
