package org.passhaven.simulator.gateway;

import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import org.passhaven.simulator.time.VirtualTime;

/**
 * A bandwidth that transfers share: each in turn sends a chunk. A transfer that nobody waits for
 * any more leaves, but what it has sent is used up.
 */
final class SimulatedPipe {
  /** A socket's usual buffer: what is under way of one transfer when another one's turn comes. */
  private static final int CHUNK_BYTES = 65_536;

  private final VirtualTime time;
  private final long bytesPerMilli;
  private final Queue<Transfer> waiting = new ArrayDeque<>();
  private boolean busy;

  private static final class Transfer {
    final BooleanSupplier isAbandoned;
    final Chunks chunks;
    long leftBytes;

    Transfer(long bytes, BooleanSupplier isAbandoned, Chunks chunks) {
      this.leftBytes = bytes;
      this.isAbandoned = isAbandoned;
      this.chunks = chunks;
    }
  }

  /** Takes what has come through. */
  interface Chunks {
    /** A chunk came through; {@code isLast} if it is the transfer's last one. */
    void onChunk(long bytes, boolean isLast);
  }

  SimulatedPipe(VirtualTime time, long bytesPerMilli) {
    this.time = Objects.requireNonNull(time, "time");
    if (bytesPerMilli < 1) {
      throw new IllegalArgumentException("bytesPerMilli must be at least 1");
    }
    this.bytesPerMilli = bytesPerMilli;
  }

  /** Begins a transfer; of one that is abandoned nothing more is told. */
  void send(long bytes, BooleanSupplier isAbandoned, Chunks chunks) {
    waiting.add(new Transfer(Math.max(1, bytes), isAbandoned, chunks));
    sendNext();
  }

  private void sendNext() {
    if (busy) {
      return;
    }
    Transfer next = waiting.poll();
    while (next != null && next.isAbandoned.getAsBoolean()) {
      next = waiting.poll();
    }
    if (next == null) {
      return;
    }
    busy = true;
    Transfer sending = next;
    long chunk = Math.min(CHUNK_BYTES, sending.leftBytes);
    time.after(chunk * VirtualTime.MICROS_PER_MILLI / bytesPerMilli, () -> onSent(sending, chunk));
  }

  private void onSent(Transfer sent, long chunk) {
    busy = false;
    sent.leftBytes -= chunk;
    boolean isLast = sent.leftBytes == 0;
    if (!isLast) {
      waiting.add(sent);
    }
    sendNext();
    sent.chunks.onChunk(chunk, isLast);
  }
}
