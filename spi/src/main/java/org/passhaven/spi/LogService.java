package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/**
 * The platform's append-only log. No compare-and-set is assumed. An append may take effect although
 * its answer is lost; callers repeat it and readers drop copies.
 */
public interface LogService {
  /** Offset that asks for the last record of a stream only. */
  long LAST = -1;

  /**
   * Records read.
   *
   * @param firstOffset offset of the first record given; past the asked one if the stream was
   *     truncated
   * @param endOffset offset that the next append will get
   */
  record Batch(long firstOffset, List<byte[]> records, long endOffset) {
    public Batch {
      records = List.copyOf(records);
    }
  }

  /**
   * Appends records in order; gives the offset of the first. Fails with {@link PlatformException}.
   */
  Uni<Long> append(String stream, List<byte[]> records);

  /**
   * Allows the log to forget the records before an offset. A log that keeps everything does
   * nothing.
   */
  default Uni<Void> trim(String stream, long beforeOffset) {
    return Uni.createFrom().voidItem();
  }

  /**
   * Reads what is there from an offset, some {@code maxBytes} of it and at least one record. A long
   * answer over a slow link may take its time: such a read is given up after a silence only.
   */
  default Uni<Batch> readHistory(String stream, long fromOffset, int maxBytes) {
    return read(stream, fromOffset, Integer.MAX_VALUE, 0);
  }

  /** Reads from an offset; waits up to {@code waitMillis} for a first record. */
  Uni<Batch> read(String stream, long fromOffset, int most, long waitMillis);
}
