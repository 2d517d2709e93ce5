package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/**
 * Client of the platform's append-only log. An implementation needs no compare-and-set. An append
 * may take effect although its response is lost; callers retry it and readers drop duplicates.
 */
public interface LogService {
  /** Offset that requests only the last record of a stream. */
  long LAST = -1;

  /**
   * A batch of records returned by a read.
   *
   * @param firstOffset offset of the first record returned; higher than requested if the stream was
   *     truncated
   * @param endOffset offset of the next append
   */
  record Batch(long firstOffset, List<byte[]> records, long endOffset) {
    public Batch {
      records = List.copyOf(records);
    }
  }

  /**
   * Appends records in order and returns the offset of the first. Fails with {@link
   * PlatformException}.
   */
  Uni<Long> append(String stream, List<byte[]> records);

  /**
   * Allows the log to delete the records before an offset. Does nothing if the log keeps all
   * records.
   */
  default Uni<Void> trim(String stream, long beforeOffset) {
    return Uni.createFrom().voidItem();
  }

  /**
   * Reads existing records from an offset: about {@code maxBytes}, but at least one record. A large
   * response over a slow link may take long, so the read times out only after a period without
   * activity. The default implementation ignores {@code maxBytes}.
   */
  default Uni<Batch> readHistory(String stream, long fromOffset, int maxBytes) {
    return read(stream, fromOffset, Integer.MAX_VALUE, 0);
  }

  /**
   * Reads up to {@code maxRecords} records from an offset; waits up to {@code waitMillis} for the
   * first one.
   */
  Uni<Batch> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
