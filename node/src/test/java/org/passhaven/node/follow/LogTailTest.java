package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

class LogTailTest {
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final List<String> delivered = new ArrayList<>();
  private long pauseMillis = 20;
  private final LogTail tail = new LogTail(log, timers, "s.0", () -> pauseMillis, this::onRecord);

  private Error nextError;

  private void onRecord(byte[] record) {
    if (nextError != null) {
      Error error = nextError;
      nextError = null;
      throw error;
    }
    delivered.add(new String(record, StandardCharsets.UTF_8));
  }

  private void append(String text) {
    log.stream("s.0").add(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void recordsAreDeliveredOnceAndInOrder() {
    append("a");
    tail.start(0);
    append("b");
    timers.advance(100);
    append("c");
    timers.advance(100);
    assertThat(delivered, contains("a", "b", "c"));
    assertThat(tail.isCaughtUp(), is(true));
  }

  /** Guards against a tail that a record of another writer ends, such as a deeply nested one. */
  @Test
  void recordsAreDeliveredBehindOneThatOverflowedTheStack() {
    append("a");
    append("b");
    nextError = new StackOverflowError();
    tail.start(0);
    timers.advance(100);
    append("c");
    timers.advance(100);
    assertThat(delivered, contains("b", "c"));
  }

  /** Guards against a tail that counts as current without a record that found no memory. */
  @Test
  void aRecordThatFoundNoMemoryIsDeliveredLaterAndBeforeThoseBehindIt() {
    append("a");
    append("b");
    nextError = new OutOfMemoryError();
    tail.start(0);
    timers.advance(10);
    assertThat(tail.isCaughtUp(), is(false));
    assertThat(tail.nextOffset(), equalTo(0L));
    timers.advance(2_000);
    assertThat(delivered, contains("a", "b"));
    assertThat(tail.isCaughtUp(), is(true));
  }

  /** Guards against an answer that a job is unknown while its record waits for memory. */
  @Test
  void aRefreshThatFoundNoMemoryIsNotCurrent() {
    tail.start(0);
    timers.advance(100);
    append("a");
    nextError = new OutOfMemoryError();
    List<Boolean> current = new ArrayList<>();
    tail.refresh().subscribe().with(current::add);
    timers.advance(10);
    assertThat(current, contains(false));
    timers.advance(2_000);
    assertThat(delivered, contains("a"));
  }

  @Test
  void pauseIsQueriedBeforeEachRead() {
    tail.start(0);
    timers.advance(10);
    pauseMillis = 400;
    append("a");
    timers.advance(50);
    append("b");
    timers.advance(300);
    assertThat(delivered, contains("a"));
    pauseMillis = 20;
    timers.advance(100);
    append("c");
    timers.advance(30);
    assertThat(delivered, contains("a", "b", "c"));
  }

  @Test
  void tailResumesAfterOutage() {
    tail.start(0);
    timers.advance(10);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    timers.advance(5_000);
    append("a");
    timers.advance(1_000);
    log.readBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(500);
    assertThat(delivered, contains("a"));
  }

  @Test
  void truncatedRecordsAreSkipped() {
    append("a");
    append("b");
    log.truncate("s.0", 1);
    tail.start(0);
    timers.advance(100);
    assertThat(delivered, contains("b"));
  }

  private LogTail tailWithSmallReads(List<Byte> received, LogTail.Listener listener) {
    return new LogTail(
        new SmallReadLog(log),
        timers,
        "s.0",
        () -> 0,
        record -> {
          received.add(record[0]);
          listener.onRecord(record);
        });
  }

  private void fill(int records) {
    for (int i = 0; i < records; i++) {
      log.stream("s.0").add(new byte[] {(byte) i});
    }
  }

  private static List<Byte> firstRecords(int records) {
    List<Byte> all = new ArrayList<>();
    for (int i = 0; i < records; i++) {
      all.add((byte) i);
    }
    return all;
  }

  @Test
  void longHistoryIsReadInOrderAndFollowedByNewRecords() {
    fill(100);
    List<Byte> received = new ArrayList<>();
    tailWithSmallReads(received, record -> {}).start(0);
    timers.advance(50);
    log.stream("s.0").add(new byte[] {100});
    timers.advance(50);
    assertThat(received, equalTo(firstRecords(101)));
  }

  @Test
  void recordsReadBeforeFailureAreNotReadAgain() {
    fill(30);
    List<Byte> received = new ArrayList<>();
    SmallReadLog smallReads = new SmallReadLog(log);
    LogTail reader =
        new LogTail(smallReads, timers, "s.0", () -> 0, record -> received.add(record[0]));
    smallReads.failAfterReads = 4;
    reader.start(0);
    timers.advance(10);
    assertThat(received, equalTo(firstRecords(12)));
    smallReads.failAfterReads = Integer.MAX_VALUE;
    timers.advance(1_000);
    assertThat(received, equalTo(firstRecords(30)));
    assertThat(smallReads.firstOffsets.subList(0, 4), contains(0L, 3L, 6L, 9L));
    assertThat(smallReads.firstOffsets.stream().filter(offset -> offset < 12).count(), is(4L));
  }

  @Test
  void truncatedHistoryIsReadFromFirstRetainedRecord() {
    fill(10);
    log.truncate("s.0", 4);
    List<Byte> received = new ArrayList<>();
    tailWithSmallReads(received, record -> {}).start(0);
    timers.advance(100);
    assertThat(received, equalTo(firstRecords(10).subList(4, 10)));
  }

  @Test
  void listenerExceptionNeitherStopsTailNorShiftsOffsets() {
    fill(20);
    List<Byte> received = new ArrayList<>();
    LogTail reader =
        tailWithSmallReads(
            received,
            record -> {
              if (record[0] == 10 || record[0] == 21) {
                throw new IllegalStateException("listener failure");
              }
            });
    reader.start(0);
    timers.advance(50);
    for (byte i = 20; i < 25; i++) {
      log.stream("s.0").add(new byte[] {i});
      timers.advance(50);
    }
    assertThat(received, equalTo(firstRecords(25)));
  }

  /** Log whose reads return at most three records and fail after a number of reads. */
  private static final class SmallReadLog implements LogService {
    private final MemoryLog log;
    private final List<Long> firstOffsets = new ArrayList<>();
    private int failAfterReads = Integer.MAX_VALUE;

    SmallReadLog(MemoryLog log) {
      this.log = log;
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return log.append(stream, records);
    }

    @Override
    public Uni<Batch> read(String stream, long from, int maxRecords, long waitMillis) {
      if (firstOffsets.size() >= failAfterReads) {
        return Uni.createFrom()
            .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "refused"));
      }
      firstOffsets.add(from);
      return log.read(stream, from, Math.min(3, maxRecords), waitMillis);
    }
  }

  @Test
  void refreshDuringPendingReadDeliversNothingTwice() {
    tail.start(0);
    timers.advance(10);
    append("a");
    List<Boolean> outcomes = new ArrayList<>();
    tail.refresh().subscribe().with(outcomes::add);
    assertThat(delivered, contains("a"));
    timers.advance(100);
    assertThat(delivered, contains("a"));
    assertThat(outcomes, contains(true));
  }

  @Test
  void refreshDuringOutageReturnsFalse() {
    tail.start(0);
    timers.advance(10);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    List<Boolean> outcomes = new ArrayList<>();
    tail.refresh().subscribe().with(outcomes::add);
    assertThat(outcomes, equalTo(List.of(false)));
  }
}
