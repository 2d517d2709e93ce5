package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

/**
 * Reads a long range of a stream by several reads at a time. One connection carries only as much as
 * its window allows in a round trip; after the loss of all nodes the time until the history is read
 * is time in which nothing is served.
 */
public final class RangeReader {
  /** Reads under way at a time. */
  private static final int LANES = 8;

  private static final int MAX_RECORDS = 2_000;
  private final LogService log;
  private final String stream;

  /** Creates a reader of one stream. */
  public RangeReader(LogService log, String stream) {
    this.log = Objects.requireNonNull(log, "log");
    this.stream = Objects.requireNonNull(stream, "stream");
  }

  /**
   * Gives the records at the offsets from {@code from} to before {@code to}, in order. Fails with
   * {@link PlatformException} if one of them can't be read.
   */
  public Uni<List<byte[]>> read(long from, long to) {
    long lane = Math.max(1, (to - from + LANES - 1) / LANES);
    List<Uni<List<byte[]>>> lanes = new ArrayList<>();
    for (long start = from; start < to; start += lane) {
      lanes.add(readLane(start, Math.min(to, start + lane), new ArrayList<>()));
    }
    if (lanes.isEmpty()) {
      return Uni.createFrom().item(List.of());
    }
    return Uni.join().all(lanes).andFailFast().map(RangeReader::joined);
  }

  private static List<byte[]> joined(List<List<byte[]>> lanes) {
    return lanes.stream().flatMap(List::stream).toList();
  }

  private Uni<List<byte[]>> readLane(long from, long to, List<byte[]> read) {
    return log.read(stream, from, (int) Math.min(MAX_RECORDS, to - from), 0)
        .chain(
            batch -> {
              if (batch.firstOffset() != from || batch.records().isEmpty()) {
                return Uni.createFrom().failure(gone(from));
              }
              int wanted = (int) Math.min(batch.records().size(), to - from);
              read.addAll(batch.records().subList(0, wanted));
              long next = from + wanted;
              return next >= to ? Uni.createFrom().item(read) : readLane(next, to, read);
            });
  }

  private PlatformException gone(long offset) {
    return new PlatformException(
        PlatformException.Kind.NOT_RUN, stream + " has no record at offset " + offset);
  }
}
