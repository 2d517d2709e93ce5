package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.passhaven.core.member.BeatTable;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends this node's beats to the log and reads those of all nodes. */
public final class MemberAgent {
  private static final Logger LOG = LoggerFactory.getLogger(MemberAgent.class);
  private static final String STREAM = "members.0";
  private static final long BETWEEN_READS_MILLIS = 250;
  private static final long HISTORY_RECORDS = 64;
  private static final long SETTLE_MILLIS = 1_100;
  private static final long FIRST_BEAT_PAUSE_MILLIS = 100;
  private final GatewayContext context;
  private final DoubleSupplier requestsPerSecond;
  private final BeatTable beats;
  private final LogTail tail;
  private boolean tailing;
  private boolean beating;
  private boolean taking = true;
  private long startedAt;
  private long ownBeatReadAt = Long.MIN_VALUE / 2;
  private List<String> lastTaking = List.of();
  private Runnable whenFollowing = () -> {};

  /**
   * Creates the agent.
   *
   * @param requestsPerSecond requests that this node lately forwarded
   */
  public MemberAgent(GatewayContext context, DoubleSupplier requestsPerSecond) {
    this.context = Objects.requireNonNull(context, "context");
    this.requestsPerSecond = Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    this.beats = new BeatTable(context.settings().silence().toMillis());
    this.tail =
        new LogTail(
            context.log(), context.timers(), STREAM, () -> BETWEEN_READS_MILLIS, new BeatReader());
  }

  /** Begins to beat; {@code onFollowing} is called once when the other nodes' beats are known. */
  public void start(Runnable onFollowing) {
    whenFollowing = Objects.requireNonNull(onFollowing, "onFollowing");
    context.timers().every(context.settings().beat().toMillis(), this::beat);
    beat();
  }

  /** What is known of all nodes. */
  public BeatTable beats() {
    return beats;
  }

  /** Whether this node has lately written to the log and read it back. */
  public boolean isInTouch() {
    return context.now() - ownBeatReadAt < context.settings().silence().toMillis();
  }

  /** Whether this node has followed the beats long enough to know who else is alive. */
  public boolean isSettled() {
    return tailing && isInTouch() && context.now() - startedAt >= SETTLE_MILLIS;
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
    if (!beating) {
      append();
    }
  }

  private void append() {
    beating = true;
    GatewaySettings settings = context.settings();
    MemberBeat beat =
        new MemberBeat(
            settings.node(),
            settings.address(),
            settings.zone(),
            context.incarnation(),
            taking,
            requestsPerSecond.getAsDouble());
    context
        .log()
        .append(STREAM, List.of(Codec.encode(beat)))
        .subscribe()
        .with(this::onAppended, this::onBeatFailed);
  }

  private void onAppended(long offset) {
    beating = false;
    if (!tailing) {
      tailing = true;
      startedAt = context.now();
      // Beats of the last moments tell at once who else is there.
      tail.start(Math.max(0, offset - HISTORY_RECORDS));
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
      beats.onBeat(beat, context.now());
      if (beat.node().equals(context.settings().node())
          && beat.incarnation() == context.incarnation()) {
        ownBeatReadAt = context.now();
      }
    } catch (CodecException e) {
      LOG.warn("members: a record can't be read: {}", e.getMessage());
    }
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
    public void onBatchEnd() {
      logChange();
    }
  }
}
