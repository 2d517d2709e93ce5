package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;

class RangeReaderTest {
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);

  private final List<String> ends = new ArrayList<>();

  private void fill(int records) {
    for (int i = 0; i < records; i++) {
      log.stream("s.0").add(new byte[] {(byte) i});
    }
  }

  private List<Byte> read(long from, long to) {
    List<Byte> read = new ArrayList<>();
    new RangeReader(new HistoryReads(log, timers), timers, "s.0")
        .read(from, to, 3, records -> records.forEach(record -> read.add(record[0])))
        .subscribe()
        .with(ignored -> ends.add("whole"), failure -> ends.add(failure.getMessage()));
    timers.advance(10);
    return read;
  }

  @Test
  void recordsComeInOrderWhateverTheirNumber() {
    fill(23);
    for (int to = 3; to <= 23; to++) {
      List<Byte> read = read(3, to);
      assertThat(read, hasSize(to - 3));
      for (int i = 0; i < read.size(); i++) {
        assertThat(read.get(i), equalTo((byte) (3 + i)));
      }
    }
  }

  @Test
  void aRangeOfWhichARecordIsGoneFails() {
    fill(10);
    log.truncate("s.0", 4);
    assertThat(read(2, 10), empty());
    assertThat(read(8, 10), contains((byte) 8, (byte) 9));
    assertThat(ends, contains("s.0 has no record at offset 2", "whole"));
  }

  @Test
  void whatWasReadBeforeATroubleIsNotReadAgain() {
    fill(30);
    log.reads = MemoryLog.Manner.REFUSES;
    List<Byte> got = read(0, 30);
    assertThat(got, empty());
    log.reads = MemoryLog.Manner.SOUND;
    timers.advance(1_000);
    assertThat(got, hasSize(30));
    for (int i = 0; i < 30; i++) {
      assertThat(got.get(i), equalTo((byte) i));
    }
  }

  @Test
  void aTailReadsLongHistoryInOrderAndGoesOn() {
    fill(100);
    List<Byte> got = new ArrayList<>();
    LogTail tail =
        new LogTail(new FewAtATime(log), timers, "s.0", () -> 0, record -> got.add(record[0]));
    tail.start(0);
    timers.advance(50);
    fill(1);
    timers.advance(50);
    assertThat(got, hasSize(101));
    for (int i = 0; i < 100; i++) {
      assertThat(got.get(i), equalTo((byte) i));
    }
  }

  /** A log whose reads give at most three records. */
  private record FewAtATime(MemoryLog log) implements org.passhaven.spi.LogService {
    @Override
    public io.smallrye.mutiny.Uni<Long> append(String stream, List<byte[]> records) {
      return log.append(stream, records);
    }

    @Override
    public io.smallrye.mutiny.Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      return log.read(stream, from, Math.min(3, most), waitMillis);
    }
  }
}
