package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

/**
 * Log whose readers share its bandwidth, each over a link of its own. Responses are sent in the
 * order of the calls, even if the caller has timed out, and their size is limited in bytes, not in
 * records. Calls are rejected while the queue of responses is too long.
 */
final class BandwidthLimitedLog {
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final long CALL_TIMEOUT_MILLIS = 1_200;
  private static final long MAX_QUEUE_MILLIS = 2_000;

  private record ReadRequest(String stream, int from, int maxBytes) {}

  private final ManualTimers timers;
  private final double bytesPerMilli;
  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private double busyUntilMillis;
  private long sentBytes;

  BandwidthLimitedLog(ManualTimers timers, double bytesPerMilli) {
    this.timers = timers;
    this.bytesPerMilli = bytesPerMilli;
  }

  /** Returns the bytes of all responses, including those whose caller timed out. */
  long sentBytes() {
    return sentBytes;
  }

  private List<byte[]> stream(String name) {
    return streams.computeIfAbsent(name, key -> new ArrayList<>());
  }

  /** Appends records of one size, which share one array. */
  void fill(String stream, int records, int recordBytes) {
    byte[] record = new byte[recordBytes];
    for (int i = 0; i < records; i++) {
      stream(stream).add(record);
    }
  }

  /** Returns the log as one node sees it over its link. */
  LogService withLink(double linkBytesPerMilli) {
    return new Reader(linkBytesPerMilli);
  }

  private final class Reader implements LogService {
    private final double linkBytesPerMilli;
    private double linkBusyUntilMillis;

    Reader(double linkBytesPerMilli) {
      this.linkBytesPerMilli = linkBytesPerMilli;
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      stream(stream).addAll(records);
      return Uni.createFrom().item((long) stream(stream).size() - records.size());
    }

    @Override
    public Uni<Batch> read(String stream, long from, int maxRecords, long waitMillis) {
      return read(new ReadRequest(stream, (int) from, MAX_RESPONSE_BYTES), waitMillis);
    }

    @Override
    public Uni<Batch> readHistory(String stream, long from, int maxBytes) {
      return read(new ReadRequest(stream, (int) from, Math.min(maxBytes, MAX_RESPONSE_BYTES)), 0);
    }

    private Uni<Batch> read(ReadRequest request, long waitMillis) {
      long deadlineMillis = timers.nowMillis() + waitMillis;
      Uni<Batch> response =
          Uni.createFrom().emitter(emitter -> respond(request, deadlineMillis, emitter));
      return timers.withTimeout(response, waitMillis + CALL_TIMEOUT_MILLIS, "read");
    }

    private void respond(
        ReadRequest request, long deadlineMillis, UniEmitter<? super Batch> emitter) {
      long nowMillis = timers.nowMillis();
      if (request.from() >= stream(request.stream()).size() && nowMillis < deadlineMillis) {
        timers.after(10, () -> respond(request, deadlineMillis, emitter));
      } else if (busyUntilMillis - nowMillis > MAX_QUEUE_MILLIS) {
        emitter.fail(new PlatformException(PlatformException.Kind.NOT_RUN, "read: status 503"));
      } else {
        send(batchFor(request), emitter);
      }
    }

    private void send(LogService.Batch batch, UniEmitter<? super Batch> emitter) {
      double nowMillis = timers.nowMillis();
      long bytes = batch.records().stream().mapToLong(record -> record.length).sum();
      sentBytes += bytes;
      busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + bytes / bytesPerMilli;
      linkBusyUntilMillis =
          Math.max(linkBusyUntilMillis, busyUntilMillis) + bytes / linkBytesPerMilli;
      timers.after(
          (long) Math.ceil(linkBusyUntilMillis - nowMillis) + 1, () -> emitter.complete(batch));
    }
  }

  private LogService.Batch batchFor(ReadRequest request) {
    List<byte[]> all = stream(request.stream());
    int from = request.from();
    int end = Math.min(from, all.size());
    int bytes = 0;
    while (end < all.size() && (end == from || bytes + all.get(end).length <= request.maxBytes())) {
      bytes += all.get(end).length;
      end++;
    }
    return new LogService.Batch(from, all.subList(Math.min(from, all.size()), end), all.size());
  }
}
