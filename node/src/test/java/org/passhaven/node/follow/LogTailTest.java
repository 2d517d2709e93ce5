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
  private final List<String> seen = new ArrayList<>();
  private long pauseMillis = 20;
  private final LogTail tail =
      new LogTail(
          log,
          timers,
          "s.0",
          () -> pauseMillis,
          record -> seen.add(new String(record, StandardCharsets.UTF_8)));

  private void add(String text) {
    log.stream("s.0").add(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void recordsAreGivenOnceAndInOrder() {
    add("a");
    tail.start(0);
    add("b");
    timers.advance(100);
    add("c");
    timers.advance(100);
    assertThat(seen, contains("a", "b", "c"));
    assertThat(tail.isCaughtUp(), is(true));
  }

  @Test
  void thePauseBetweenReadsIsAskedEachTime() {
    tail.start(0);
    timers.advance(10);
    pauseMillis = 400;
    add("a");
    timers.advance(50);
    add("b");
    timers.advance(300);
    assertThat(seen, contains("a"));
    pauseMillis = 20;
    timers.advance(100);
    add("c");
    timers.advance(30);
    assertThat(seen, contains("a", "b", "c"));
  }

  @Test
  void anOutageIsWaitedOut() {
    tail.start(0);
    timers.advance(10);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    timers.advance(5_000);
    add("a");
    timers.advance(1_000);
    log.readBehavior = MemoryLog.Behavior.NORMAL;
    timers.advance(500);
    assertThat(seen, contains("a"));
  }

  @Test
  void recordsThatAreNoLongerKeptArePassedOver() {
    add("a");
    add("b");
    log.truncate("s.0", 1);
    tail.start(0);
    timers.advance(100);
    assertThat(seen, contains("b"));
  }

  private LogTail tailOfFewAtATime(List<Byte> got, LogTail.Listener listener) {
    return new LogTail(
        new FewAtATime(log),
        timers,
        "s.0",
        () -> 0,
        record -> {
          got.add(record[0]);
          listener.onRecord(record);
        });
  }

  private void fill(int records) {
    for (int i = 0; i < records; i++) {
      log.stream("s.0").add(new byte[] {(byte) i});
    }
  }

  private static List<Byte> upTo(int records) {
    List<Byte> all = new ArrayList<>();
    for (int i = 0; i < records; i++) {
      all.add((byte) i);
    }
    return all;
  }

  @Test
  void aTailReadsLongHistoryInOrderAndGoesOn() {
    fill(100);
    List<Byte> got = new ArrayList<>();
    tailOfFewAtATime(got, record -> {}).start(0);
    timers.advance(50);
    log.stream("s.0").add(new byte[] {100});
    timers.advance(50);
    assertThat(got, equalTo(upTo(101)));
  }

  @Test
  void whatWasReadBeforeATroubleIsNotReadAgain() {
    fill(30);
    List<Byte> got = new ArrayList<>();
    FewAtATime few = new FewAtATime(log);
    LogTail reading = new LogTail(few, timers, "s.0", () -> 0, record -> got.add(record[0]));
    few.failAfterReads = 4;
    reading.start(0);
    timers.advance(10);
    assertThat(got, equalTo(upTo(12)));
    few.failAfterReads = Integer.MAX_VALUE;
    timers.advance(1_000);
    assertThat(got, equalTo(upTo(30)));
    assertThat(few.firstOffsets.subList(0, 4), contains(0L, 3L, 6L, 9L));
    assertThat(few.firstOffsets.stream().filter(offset -> offset < 12).count(), is(4L));
  }

  @Test
  void historyOfWhichTheBeginningIsGoneIsReadFromWhatIsKept() {
    fill(10);
    log.truncate("s.0", 4);
    List<Byte> got = new ArrayList<>();
    tailOfFewAtATime(got, record -> {}).start(0);
    timers.advance(100);
    assertThat(got, equalTo(upTo(10).subList(4, 10)));
  }

  @Test
  void aRecordThatIsNotTakenNeitherEndsTheTailNorShiftsWhatFollows() {
    fill(20);
    List<Byte> got = new ArrayList<>();
    LogTail reading =
        tailOfFewAtATime(
            got,
            record -> {
              if (record[0] == 10 || record[0] == 21) {
                throw new IllegalStateException("not taken");
              }
            });
    reading.start(0);
    timers.advance(50);
    for (byte i = 20; i < 25; i++) {
      log.stream("s.0").add(new byte[] {i});
      timers.advance(50);
    }
    assertThat(got, equalTo(upTo(25)));
  }

  /** A log whose reads give at most three records, and which refuses after some reads. */
  private static final class FewAtATime implements LogService {
    private final MemoryLog log;
    private final List<Long> firstOffsets = new ArrayList<>();
    private int failAfterReads = Integer.MAX_VALUE;

    FewAtATime(MemoryLog log) {
      this.log = log;
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return log.append(stream, records);
    }

    @Override
    public Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      if (firstOffsets.size() >= failAfterReads) {
        return Uni.createFrom()
            .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "refused"));
      }
      firstOffsets.add(from);
      return log.read(stream, from, Math.min(3, most), waitMillis);
    }
  }

  @Test
  void aRefreshBesideTheWaitingReadGivesNothingTwice() {
    tail.start(0);
    timers.advance(10);
    add("a");
    List<Boolean> sure = new ArrayList<>();
    tail.refresh().subscribe().with(sure::add);
    assertThat(seen, contains("a"));
    timers.advance(100);
    assertThat(seen, contains("a"));
    assertThat(sure, contains(true));
  }

  @Test
  void aRefreshDuringAnOutageIsNotSure() {
    tail.start(0);
    timers.advance(10);
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    List<Boolean> sure = new ArrayList<>();
    tail.refresh().subscribe().with(sure::add);
    assertThat(sure, equalTo(List.of(false)));
  }
}
