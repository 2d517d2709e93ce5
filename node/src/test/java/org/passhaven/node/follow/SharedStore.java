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
 * A log whose readers share what it gives a second, as the users' platform does, and each of which
 * has a link of its own: answers leave in the order of the calls, and go over their reader's link
 * one after another. Each is as large as the platform's largest one, whatever number of records is
 * asked for, unless fewer bytes are. An answer that its caller has given up is sent all the same.
 * While more than a while of answers is waiting, calls are refused.
 */
final class SharedStore {
  private static final int MAX_ANSWER_BYTES = 1 << 20;
  private static final long CALL_LIMIT_MILLIS = 1_200;
  private static final long MAX_QUEUE_MILLIS = 2_000;

  private record Wanted(String stream, int from, int maxBytes) {}

  private final ManualTimers timers;
  private final double bytesPerMilli;
  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private double busyUntilMillis;
  private long givenBytes;

  SharedStore(ManualTimers timers, double bytesPerMilli) {
    this.timers = timers;
    this.bytesPerMilli = bytesPerMilli;
  }

  /** Bytes of all answers, those that nobody waited for included. */
  long givenBytes() {
    return givenBytes;
  }

  private List<byte[]> stream(String name) {
    return streams.computeIfAbsent(name, key -> new ArrayList<>());
  }

  /** Adds records of one size; all of them share one array. */
  void fill(String stream, int records, int recordBytes) {
    byte[] record = new byte[recordBytes];
    for (int i = 0; i < records; i++) {
      stream(stream).add(record);
    }
  }

  /** The log as one node reaches it over its link. */
  LogService over(double linkBytesPerMilli) {
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
    public Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      return read(new Wanted(stream, (int) from, MAX_ANSWER_BYTES), waitMillis);
    }

    @Override
    public Uni<Batch> readHistory(String stream, long from, int maxBytes) {
      return read(new Wanted(stream, (int) from, Math.min(maxBytes, MAX_ANSWER_BYTES)), 0);
    }

    private Uni<Batch> read(Wanted wanted, long waitMillis) {
      long until = timers.nowMillis() + waitMillis;
      Uni<Batch> answer = Uni.createFrom().emitter(emitter -> answer(wanted, until, emitter));
      return timers.withTimeout(answer, waitMillis + CALL_LIMIT_MILLIS, "read");
    }

    private void answer(Wanted wanted, long until, UniEmitter<? super Batch> emitter) {
      long now = timers.nowMillis();
      if (wanted.from() >= stream(wanted.stream()).size() && now < until) {
        timers.after(10, () -> answer(wanted, until, emitter));
      } else if (busyUntilMillis - now > MAX_QUEUE_MILLIS) {
        emitter.fail(new PlatformException(PlatformException.Kind.NOT_RUN, "read: status 503"));
      } else {
        send(answerTo(wanted), emitter);
      }
    }

    private void send(LogService.Batch batch, UniEmitter<? super Batch> emitter) {
      double now = timers.nowMillis();
      long bytes = batch.records().stream().mapToLong(record -> record.length).sum();
      givenBytes += bytes;
      busyUntilMillis = Math.max(busyUntilMillis, now) + bytes / bytesPerMilli;
      linkBusyUntilMillis =
          Math.max(linkBusyUntilMillis, busyUntilMillis) + bytes / linkBytesPerMilli;
      timers.after((long) Math.ceil(linkBusyUntilMillis - now) + 1, () -> emitter.complete(batch));
    }
  }

  private LogService.Batch answerTo(Wanted wanted) {
    List<byte[]> all = stream(wanted.stream());
    int from = wanted.from();
    int end = Math.min(from, all.size());
    int bytes = 0;
    while (end < all.size() && (end == from || bytes + all.get(end).length <= wanted.maxBytes())) {
      bytes += all.get(end).length;
      end++;
    }
    return new LogService.Batch(from, all.subList(Math.min(from, all.size()), end), all.size());
  }
}
