package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import org.passhaven.core.log.ReadWindow;
import org.passhaven.spi.LogService;
import org.passhaven.spi.LogService.Batch;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;

/**
 * A node's reads of history, over all streams: in pieces, and as many at a time as the way to the
 * log carries ({@link ReadWindow}). After the loss of all nodes each one reads, and together they
 * share what the log gives; reads that are given up have used their part of it all the same. Used
 * on the node's thread.
 */
public final class HistoryReads {
  /** A second's worth of a 2 Mbit/s link, and some 40 results: one lost piece costs little. */
  private static final int PIECE_BYTES = 262_144;

  private final LogService log;
  private final Timers timers;
  private final ReadWindow window = new ReadWindow();
  private final Queue<Waiting> waiting = new ArrayDeque<>();
  private int underWay;

  private static final class Waiting {
    final String stream;
    final long from;
    final UniEmitter<? super Batch> emitter;
    boolean over;

    Waiting(String stream, long from, UniEmitter<? super Batch> emitter) {
      this.stream = stream;
      this.from = from;
      this.emitter = emitter;
    }
  }

  /** Creates the reads of one node. */
  public HistoryReads(LogService log, Timers timers) {
    this.log = Objects.requireNonNull(log, "log");
    this.timers = Objects.requireNonNull(timers, "timers");
  }

  /** Reads a piece from an offset on when its turn comes; fails with {@link PlatformException}. */
  public Uni<Batch> read(String stream, long from) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Waiting read = new Waiting(stream, from, emitter);
              emitter.onTermination(() -> read.over = true);
              waiting.add(read);
              beginReads();
            });
  }

  private void beginReads() {
    while (underWay < window.reads() && !waiting.isEmpty()) {
      Waiting next = waiting.poll();
      if (!next.over) {
        begin(next);
      }
    }
  }

  private void begin(Waiting read) {
    underWay++;
    long begunAtMillis = timers.nowMillis();
    log.readHistory(read.stream, read.from, PIECE_BYTES)
        .subscribe()
        .with(
            batch -> {
              underWay--;
              window.onAnswered(timers.nowMillis() - begunAtMillis);
              read.emitter.complete(batch);
              beginReads();
            },
            failure -> {
              underWay--;
              if (PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN) {
                window.onLost(begunAtMillis, timers.nowMillis());
              }
              read.emitter.fail(failure);
              beginReads();
            });
  }
}
