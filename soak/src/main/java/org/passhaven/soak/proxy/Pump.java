package org.passhaven.soak.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Carries the bytes of one direction of one connection, in order. Used on the event loop of its
 * connection only.
 */
final class Pump {
  // A few socket buffers' worth: the sender feels the link, and memory stays bounded.
  private static final int MOST_QUEUED_BYTES = 256 * 1024;
  private static final int FEW_QUEUED_BYTES = MOST_QUEUED_BYTES / 2;
  // Timers have steps of a ms; what is due within one goes at once.
  private static final long TIMER_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private record Piece(Buffer buffer, long readAtNanos) {}

  private final Vertx vertx;
  private final LinkState.Direction direction;
  private final Supplier<LinkState> state;
  private final BandwidthMeter meter;
  private final NetSocket from;
  private final NetSocket to;
  private final Deque<Piece> queue = new ArrayDeque<>();
  private int queuedBytes;
  private boolean isEnded;
  private boolean isReset;
  private boolean isMute;
  private boolean isWaiting;
  private boolean isPaused;
  private boolean isReserved;
  private long reservedAtNanos;

  Pump(
      Vertx vertx,
      LinkState.Direction direction,
      Supplier<LinkState> state,
      BandwidthMeter meter,
      NetSocket from,
      NetSocket to) {
    this.vertx = vertx;
    this.direction = direction;
    this.state = state;
    this.meter = meter;
    this.from = from;
    this.to = to;
    from.handler(this::take);
  }

  /** The sender's connection was reset, which its end tells the other side too. */
  void endsByReset() {
    isReset = true;
  }

  /** The sender has closed: what is queued still goes, then the other side is closed. */
  void end() {
    isEnded = true;
    carry();
  }

  /** From now on nothing arrives, and the other side is not told of the end. */
  void mute() {
    isMute = true;
    queue.clear();
    queuedBytes = 0;
    if (isPaused) {
      isPaused = false;
      from.resume();
    }
  }

  /** Goes on after the link's state has changed. */
  void carry() {
    while (!isMute && !isWaiting && !state.get().isHeld(direction)) {
      Piece head = queue.peek();
      if (head == null) {
        if (isEnded && isReset) {
          LinkProxy.reset(to);
        } else if (isEnded) {
          to.close();
        }
        return;
      }
      if (to.writeQueueFull()) {
        isWaiting = true;
        to.drainHandler(ignored -> goOn());
        return;
      }
      long leftNanos = dueNanos(head) - System.nanoTime();
      if (leftNanos > TIMER_STEP_NANOS) {
        isWaiting = true;
        vertx.setTimer(Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)), ignored -> goOn());
        return;
      }
      send();
    }
  }

  private void goOn() {
    isWaiting = false;
    carry();
  }

  private long dueNanos(Piece head) {
    if (!isReserved) {
      isReserved = true;
      reservedAtNanos = meter.reserve(head.buffer().length(), System.nanoTime());
    }
    long delayNanos = TimeUnit.MILLISECONDS.toNanos(state.get().delayMillis());
    return Math.max(reservedAtNanos, head.readAtNanos() + delayNanos);
  }

  private void send() {
    Buffer buffer = queue.remove().buffer();
    isReserved = false;
    queuedBytes -= buffer.length();
    to.write(buffer);
    if (isPaused && queuedBytes <= FEW_QUEUED_BYTES) {
      isPaused = false;
      from.resume();
    }
  }

  private void take(Buffer buffer) {
    if (isMute) {
      return;
    }
    queue.add(new Piece(buffer, System.nanoTime()));
    queuedBytes += buffer.length();
    if (queuedBytes > MOST_QUEUED_BYTES && !isPaused) {
      isPaused = true;
      from.pause();
    }
    carry();
  }
}
