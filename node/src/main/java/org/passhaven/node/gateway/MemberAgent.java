package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.passhaven.core.member.BeatPace;
import org.passhaven.core.member.BeatTable;
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
public final class MemberAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MemberAgent.class);
  private static final String STREAM = "members.0";

  /** Time after the start in which a node sends heartbeats at the short period. */
  private static final long FRESH_MILLIS = 5_000;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long HISTORY_RECORDS = 64;
  private static final long SETTLE_MILLIS = 1_100;
  private static final long FIRST_BEAT_PAUSE_MILLIS = 100;
  private final GatewayContext context;
  private final DoubleSupplier requestsPerSecond;
  private final BooleanSupplier isDependedOn;
  private final BeatTable beats;
  private final LogTail tail;
  private boolean tailing;
  private boolean beating;
  private boolean taking = true;
  private long beganAt;
  private long startedAt;
  private long beatAt = NEVER;
  private long beatPeriodMillis;
  private long ownBeatReadAt = NEVER;
  private long ownBeatsRead;

  /** Offset of the first heartbeat that was sent after the last clock jump and written. */
  private long ownBeatsCountFrom;

  private long clockGapsSeen;
  private long clockGapsAtAppend;
  private List<String> lastTaking = List.of();
  private boolean isFleetLost;
  private Runnable whenFollowing = () -> {};
  private Runnable whenFleetLost = () -> {};
  private Runnable whenClocksParted = () -> {};
  private Supplier<List<ServerUse>> serverUse = List::of;
  private Consumer<MemberBeat> onOthersBeat = beat -> {};

  /**
   * Creates an agent; {@link #start} begins its work.
   *
   * @param requestsPerSecond rate of the requests that this node received recently
   * @param isDependedOn whether a failure of this node must be detected quickly
   * @param betweenReadsMillis pause between reads of heartbeats, in milliseconds
   */
  public MemberAgent(
      GatewayContext context,
      DoubleSupplier requestsPerSecond,
      BooleanSupplier isDependedOn,
      LongSupplier betweenReadsMillis) {
    this.context = Objects.requireNonNull(context, "context");
    this.requestsPerSecond = Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    this.isDependedOn = Objects.requireNonNull(isDependedOn, "isDependedOn");
    this.beats = new BeatTable(context.settings().silence().toMillis());
    this.tail =
        new LogTail(context.log(), context.timers(), STREAM, betweenReadsMillis, new BeatReader());
  }

  /**
   * Starts sending heartbeats.
   *
   * @param onFollowing called when the heartbeats of the other nodes were read, or after a failed
   *     heartbeat, since a node that can't write may still read; may be called more than once
   * @param onFleetLost called once if nearly all of the earlier nodes turn out to be dead
   */
  public void start(Runnable onFollowing, Runnable onFleetLost) {
    whenFollowing = Objects.requireNonNull(onFollowing, "onFollowing");
    whenFleetLost = Objects.requireNonNull(onFleetLost, "onFleetLost");
    beganAt = context.now();
    beat();
  }

  /** Sets the task that runs after a clock jump, when pending reads may never complete. */
  void whenClocksParted(Runnable task) {
    whenClocksParted = Objects.requireNonNull(task, "task");
  }

  /**
   * Sets the source and the consumer of server use reports, which heartbeats carry.
   *
   * @param own returns this node's report; called for each of its heartbeats
   * @param others receives each new heartbeat of another node
   */
  void shareServerUse(Supplier<List<ServerUse>> own, Consumer<MemberBeat> others) {
    serverUse = Objects.requireNonNull(own, "own");
    onOthersBeat = Objects.requireNonNull(others, "others");
  }

  /** Shortens the heartbeat period and ends the read pause when others start to depend on it. */
  void hurry() {
    if (periodMillis() < beatPeriodMillis) {
      beat();
    }
    tail.hurry();
  }

  /** Returns the heartbeats of all nodes. */
  public BeatTable beats() {
    return beats;
  }

  /** Returns whether a recent heartbeat of this node was written and read back. */
  public boolean isInTouch() {
    return now() - ownBeatReadAt < beats.silenceMillis(beatPeriodMillis);
  }

  /**
   * Returns the current time. After a clock jump it first discards the earlier heartbeats: liveness
   * is known again only when a heartbeat sent after the jump was read back.
   */
  private long now() {
    long now = context.now();
    long gaps = context.timers().clockGaps().count();
    if (gaps != clockGapsSeen) {
      clockGapsSeen = gaps;
      ownBeatReadAt = NEVER;
      ownBeatsCountFrom = Long.MAX_VALUE;
      beatAt = NEVER;
      tail.renew();
      whenClocksParted.run();
    }
    return now;
  }

  /** Returns whether heartbeats were read for long enough to know which nodes are alive. */
  public boolean isSettled() {
    if (isFleetLost) {
      return isInTouch();
    }
    return tailing && isInTouch() && context.now() - startedAt >= SETTLE_MILLIS;
  }

  /**
   * Returns whether all nodes that were alive before this node's start may be dead. The state ends
   * when this node's second heartbeat is read back, since all live nodes have sent one by then, or
   * after a timeout.
   */
  boolean isLivenessUnknown() {
    return tailing
        && !isFleetLost
        && ownBeatsRead < 2
        && context.now() - startedAt < SETTLE_MILLIS
        && beats.isLossDetectable();
  }

  /** Announces in a heartbeat that this node accepts no new work. */
  public void announceLeaving() {
    taking = false;
    append();
  }

  /** Sends a heartbeat if one is due and none is in flight, so as not to overload a slow log. */
  private void beat() {
    long period = periodMillis();
    // The other nodes rely on the period announced by the last heartbeat if it is shorter.
    boolean isDue =
        now() - beatAt >= Math.min(period, beatPeriodMillis) || period < beatPeriodMillis;
    if (!beating && (isDue || !tailing)) {
      append();
    }
  }

  private long periodMillis() {
    return isFresh() || isDependedOn.getAsBoolean()
        ? context.settings().beat().toMillis()
        : BeatPace.idleMillis(beats.taking().size());
  }

  private void append() {
    beating = true;
    beatAt = now();
    clockGapsAtAppend = clockGapsSeen;
    beatPeriodMillis = periodMillis();
    GatewaySettings settings = context.settings();
    MemberBeat beat =
        new MemberBeat(
            settings.node(),
            settings.address(),
            settings.zone(),
            context.incarnation(),
            taking,
            requestsPerSecond.getAsDouble(),
            beatPeriodMillis,
            settings.cores(),
            inLogMillis(),
            serverUse.get());
    context
        .log()
        .append(STREAM, List.of(Codec.encode(beat)))
        .subscribe()
        .with(this::onAppended, this::onBeatFailed);
  }

  /** Returns this node's time in the log, measured from the write of its first heartbeat. */
  private long inLogMillis() {
    return MemberBeat.FIRST_IN_LOG_MILLIS + (tailing ? context.now() - startedAt : 0);
  }

  private void onAppended(long offset) {
    beating = false;
    noteWritten(offset);
    if (tailing && context.now() - startedAt < SETTLE_MILLIS) {
      // A starting node needs its own heartbeat back to know whether the others are alive.
      tail.hurry();
    }
    if (!tailing) {
      tailing = true;
      startedAt = context.now();
      // Starts the period now: by the next heartbeat each live node has sent one as well.
      context.timers().every(context.settings().beat().toMillis(), this::beat);
      // Reads recent heartbeats first, to find the other nodes at once.
      tail.start(Math.max(0, offset - HISTORY_RECORDS));
    }
  }

  private void noteWritten(long offset) {
    boolean isSentSinceGap = clockGapsAtAppend == context.timers().clockGaps().count();
    if (ownBeatsCountFrom == Long.MAX_VALUE && isSentSinceGap) {
      ownBeatsCountFrom = offset;
      if (tail.position() > offset) {
        ownBeatReadAt = context.now();
      }
    }
  }

  private void onBeatFailed(Throwable failure) {
    beating = false;
    LOG.debug(
        "members: a heartbeat could not be written: {}",
        PlatformException.from(failure).getMessage());
    if (!tailing) {
      // A node that can't write can still read the log, without knowing the other nodes.
      whenFollowing.run();
      context.timers().after(FIRST_BEAT_PAUSE_MILLIS, this::beat);
    }
  }

  private void onRecord(byte[] record) {
    try {
      MemberBeat beat = Codec.decode(record, MemberBeat.class);
      boolean isOwn =
          beat.node().equals(context.settings().node())
              && beat.incarnation() == context.incarnation();
      beats.onBeat(beat, context.now());
      if (isOwn) {
        onOwnBeatRead();
      } else if (tail.isCaughtUp()) {
        onOthersBeat.accept(beat);
      }
    } catch (CodecException e) {
      LOG.warn("members: a record can't be read: {}", e.getMessage());
    }
  }

  private void onOwnBeatRead() {
    long now = now();
    ownBeatsRead++;
    if (tail.position() > ownBeatsCountFrom) {
      ownBeatReadAt = now;
    }
  }

  /** Forgets a lost fleet, so that its old heartbeats in the log delay no takeover. */
  private void noteFleetLost() {
    if (isFleetLost || !tail.isCaughtUp() || !isFresh()) {
      return;
    }
    if (beats.isFleetLost()) {
      isFleetLost = true;
      context.metrics().fleetLosses.increment();
      int before = beats.taking().size();
      beats.forgetLost();
      LOG.atInfo()
          .addKeyValue("before", before)
          .addKeyValue("live", beats.taking().size())
          .log("members: the fleet was lost");
      whenFleetLost.run();
    }
  }

  /** Returns whether this node has just started. */
  boolean isFresh() {
    return context.now() - beganAt < FRESH_MILLIS;
  }

  private void logChange() {
    List<String> now = beats.taking().stream().map(MemberBeat::node).toList();
    if (tail.isCaughtUp() && !now.equals(lastTaking)) {
      lastTaking = now;
      LOG.atInfo()
          .addKeyValue("live", now.size())
          .addKeyValue("nodes", now)
          .log("members: changed");
    }
  }

  /** Processes heartbeats; membership changes are logged once per batch. */
  private final class BeatReader implements LogTail.Listener {
    @Override
    public void onCaughtUp() {
      whenFollowing.run();
    }

    @Override
    public void onRecord(byte[] record) {
      MemberAgent.this.onRecord(record);
    }

    @Override
    public void onGap(long nextOffset) {
      beats.onGap();
    }

    @Override
    public void onBatchEnd() {
      noteFleetLost();
      logChange();
    }
  }
}
