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

/** Sends this node's beats to the log and reads those of all nodes. */
public final class MemberAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MemberAgent.class);
  private static final String STREAM = "members.0";

  /** A node that has just started beats often: nobody knows yet what will depend on it. */
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

  /** Offset of the first beat that was sent since the newest gap of the clocks and is written. */
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
   * Creates the agent.
   *
   * @param requestsPerSecond requests that this node lately forwarded
   * @param isDependedOn whether its loss must show soon: it runs jobs, orders weights or serves
   * @param betweenReadsMillis pause between reads of the beats of all nodes
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
   * Begins to beat.
   *
   * @param onFollowing called once when the other nodes' beats are known
   * @param onFleetLost called once if nearly all of those then turn out to be gone
   */
  public void start(Runnable onFollowing, Runnable onFleetLost) {
    whenFollowing = Objects.requireNonNull(onFollowing, "onFollowing");
    whenFleetLost = Objects.requireNonNull(onFleetLost, "onFleetLost");
    beganAt = context.now();
    beat();
  }

  /** Runs a task when this node may have been suspended: what it waits for may never come. */
  void whenClocksParted(Runnable task) {
    whenClocksParted = Objects.requireNonNull(task, "task");
  }

  /**
   * Connects the reports of server use, which nodes that run jobs send each other in their beats.
   *
   * @param own this node's report, called for each of its beats
   * @param others called with each new beat of another node
   */
  void shareServerUse(Supplier<List<ServerUse>> own, Consumer<MemberBeat> others) {
    serverUse = Objects.requireNonNull(own, "own");
    onOthersBeat = Objects.requireNonNull(others, "others");
  }

  /** Something has come to depend on this node: its beats come more often from now on. */
  void hurry() {
    if (periodMillis() < beatPeriodMillis) {
      beat();
    }
    tail.hurry();
  }

  /** What is known of all nodes. */
  public BeatTable beats() {
    return beats;
  }

  /** Whether this node has lately written to the log and read it back. */
  public boolean isInTouch() {
    return now() - ownBeatReadAt < beats.silenceMillis(beatPeriodMillis);
  }

  /**
   * After a suspension a node knows what has become of the others only when a beat that it sent
   * since then was read back.
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

  /** Whether this node has followed the beats long enough to know who else is alive. */
  public boolean isSettled() {
    if (isFleetLost) {
      return isInTouch();
    }
    return tailing && isInTouch() && context.now() - startedAt >= SETTLE_MILLIS;
  }

  /**
   * Whether the nodes that beat before this node's start may all be gone. Ends when this node's
   * second beat is read back, since the beats of live nodes are read by then, or after the time
   * that this takes while the log works.
   */
  boolean isLivenessUnknown() {
    return tailing
        && !isFleetLost
        && ownBeatsRead < 2
        && context.now() - startedAt < SETTLE_MILLIS
        && beats.isLossDetectable();
  }

  /** Tells everybody that this node takes no new work. */
  public void announceLeaving() {
    taking = false;
    append();
  }

  /**
   * A beat that is still under way tells as much as a second one; a slow log gets no more of them.
   */
  private void beat() {
    long period = periodMillis();
    // A shorter period announced by the newest beat is kept, since others rely on it.
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

  /** Counted from the log's answer to the first beat, which may have taken long. */
  private long inLogMillis() {
    return MemberBeat.FIRST_IN_LOG_MILLIS + (tailing ? context.now() - startedAt : 0);
  }

  private void onAppended(long offset) {
    beating = false;
    noteWritten(offset);
    if (tailing && context.now() - startedAt < SETTLE_MILLIS) {
      // Its own beat, read back, tells a node that starts whether the others are still there.
      tail.hurry();
    }
    if (!tailing) {
      tailing = true;
      startedAt = context.now();
      // The period counts from now: when the next beat is read back, each live node's beat is too.
      context.timers().every(context.settings().beat().toMillis(), this::beat);
      // Beats of the last moments tell at once who else is there.
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
    LOG.debug("members: a beat failed: {}", PlatformException.from(failure).getMessage());
    if (!tailing) {
      // A node that may not write can still read, though it does not know the others.
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

  /** Of a fleet that was lost the log still tells: who is gone must hold up nobody. */
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

  /** Whether this node started so lately that it has much to learn. */
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

  /** Changes are told once a read: at many nodes each read brings many beats. */
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
