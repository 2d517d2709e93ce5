package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.passhaven.spi.LogService.Batch;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a long range of a stream in pieces, several at a time, and gives the records in order as
 * they come. What was read is never read again: a piece that is lost is repeated alone. After the
 * loss of all nodes the time until the history is read is time in which nothing is served.
 */
public final class RangeReader {
  private static final Logger LOG = LoggerFactory.getLogger(RangeReader.class);

  /** Pieces read ahead of the last one given: bounds the memory while one is being repeated. */
  private static final int PIECES_AHEAD = 16;

  private final HistoryReads reads;
  private final Timers timers;
  private final String stream;
  private final Outage outage;

  /** Creates a reader of one stream. */
  public RangeReader(HistoryReads reads, Timers timers, String stream) {
    this(reads, timers, stream, new Outage(LOG, "log", stream));
  }

  /** Creates a reader for one who tells the loss and return of the stream himself. */
  RangeReader(HistoryReads reads, Timers timers, String stream, Outage outage) {
    this.reads = Objects.requireNonNull(reads, "reads");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.stream = Objects.requireNonNull(stream, "stream");
    this.outage = Objects.requireNonNull(outage, "outage");
  }

  /**
   * Gives the records at the offsets from {@code from} to before {@code to}, in order; ends when
   * all were given. Fails with {@link PlatformException} if one of them is no longer kept.
   *
   * @param pieceRecords records of a piece, by what reads of this stream gave so far
   */
  public Uni<Void> read(long from, long to, int pieceRecords, Consumer<List<byte[]>> onRecords) {
    if (from >= to) {
      return Uni.createFrom().voidItem();
    }
    return Uni.createFrom()
        .emitter(
            emitter ->
                new Reading(from, to, Math.max(1, pieceRecords), onRecords, emitter).begin());
  }

  private final class Reading {
    private final long to;
    private final int pieceRecords;
    private final Consumer<List<byte[]>> onRecords;
    private final UniEmitter<? super Void> emitter;
    private final Map<Long, List<byte[]>> readByStart = new HashMap<>();
    private long given;
    private long nextPiece;
    private boolean over;

    Reading(
        long from,
        long to,
        int pieceRecords,
        Consumer<List<byte[]>> onRecords,
        UniEmitter<? super Void> emitter) {
      this.to = to;
      this.pieceRecords = pieceRecords;
      this.onRecords = onRecords;
      this.emitter = emitter;
      this.given = from;
      this.nextPiece = from;
    }

    void begin() {
      emitter.onTermination(() -> over = true);
      beginPieces();
    }

    private void beginPieces() {
      while (!over && nextPiece < to && nextPiece < given + (long) PIECES_AHEAD * pieceRecords) {
        long start = nextPiece;
        nextPiece = Math.min(to, start + pieceRecords);
        readPiece(start, nextPiece, new ArrayList<>());
      }
    }

    private void readPiece(long start, long end, List<byte[]> read) {
      if (over) {
        return;
      }
      long at = start + read.size();
      reads
          .read(stream, at)
          .subscribe()
          .with(
              batch -> onBatch(batch, start, end, read),
              failure ->
                  timers.after(outage.onFailure(failure, at), () -> readPiece(start, end, read)));
    }

    private void onBatch(Batch batch, long start, long end, List<byte[]> read) {
      if (over) {
        return;
      }
      long at = start + read.size();
      outage.onSuccess(at);
      if (batch.firstOffset() != at || batch.records().isEmpty()) {
        emitter.fail(gone(at));
        return;
      }
      int wanted = (int) Math.min(batch.records().size(), end - at);
      read.addAll(batch.records().subList(0, wanted));
      if (at + wanted < end) {
        readPiece(start, end, read);
        return;
      }
      readByStart.put(start, read);
      give();
    }

    private void give() {
      List<byte[]> next = readByStart.remove(given);
      while (next != null) {
        given += next.size();
        onRecords.accept(next);
        next = readByStart.remove(given);
      }
      if (given >= to) {
        emitter.complete(null);
      } else {
        beginPieces();
      }
    }

    private PlatformException gone(long offset) {
      return new PlatformException(
          PlatformException.Kind.NOT_RUN, stream + " has no record at offset " + offset);
    }
  }
}
