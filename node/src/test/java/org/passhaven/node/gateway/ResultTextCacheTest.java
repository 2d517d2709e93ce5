package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.ResultText;
import org.passhaven.protocol.job.TextLocation;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.LogService;

/** Guards against wrong, missing or repeatedly read texts of results. */
class ResultTextCacheTest {
  private static final String STREAM = "results.0";
  private final ManualTimers timers = new ManualTimers();
  private final MemoryLog log = new MemoryLog(timers);
  private final CountingLog countingLog = new CountingLog(log);
  private final ResultTextCache texts =
      new ResultTextCache(
          new GatewayContext(
              GatewayFixture.settings(1, 262_144, 2_097_152),
              1,
              timers,
              bound -> 0,
              countingLog,
              new GatewayFixture.SilentTables(),
              new GatewayFixture.SilentServers(),
              DutyService.NONE,
              new GatewayFixture.EmptyDocuments(),
              new GatewayMetrics(new SimpleMeterRegistry())));
  private final List<String> failures = new ArrayList<>();

  /** A log that counts reads and limits the number of records per read. */
  private static final class CountingLog implements LogService {
    private final MemoryLog log;
    private int maxRecords = 1_000;
    private int reads;

    CountingLog(MemoryLog log) {
      this.log = log;
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return log.append(stream, records);
    }

    @Override
    public Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      reads++;
      return log.read(stream, from, Math.min(maxRecords, most), waitMillis);
    }
  }

  private ItemFinished appendResult(String item, String text) {
    byte[] record = Codec.encode(new ResultText("j", item, text));
    log.stream(STREAM).add(record);
    TextLocation location = new TextLocation(log.stream(STREAM).size() - 1, record.length);
    return new ItemFinished("j", item, true, location, List.of(1L), "s");
  }

  private List<ItemFinished> appendResult(int items) {
    return IntStream.range(0, items).mapToObj(i -> appendResult("x" + i, "t" + i)).toList();
  }

  private List<List<String>> read(List<ItemFinished> wanted) {
    List<List<String>> received = new ArrayList<>();
    texts
        .read(STREAM, wanted, timers.nowMillis() + 1_000)
        .subscribe()
        .with(received::add, failure -> failures.add(failure.getMessage()));
    return received;
  }

  @Test
  void textsAreReturnedInTheOrderOfTheResults() {
    ItemFinished first = appendResult("a", "one");
    ItemFinished second = appendResult("b", "two");
    ItemFinished failed = new ItemFinished("j", "c", false, null, List.of(), "");
    assertThat(read(List.of(second, failed, first)), contains(equalTo(List.of("two", "", "one"))));
  }

  @Test
  void aPartialReadIsContinued() {
    countingLog.maxRecords = 3;
    List<String> received = read(appendResult(10)).get(0);
    assertThat(received, hasSize(10));
    assertThat(received.get(9), equalTo("t9"));
  }

  @Test
  void cachedTextsNeedNoRead() {
    List<ItemFinished> wanted = appendResult(5);
    read(wanted);
    int reads = countingLog.reads;
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    assertThat(read(wanted).get(0), hasSize(5));
    assertThat(countingLog.reads, equalTo(reads));
  }

  @Test
  void cachedTextsAreReturnedWhenTheOthersCannotBeRead() {
    List<ItemFinished> wanted = appendResult(5);
    read(wanted.subList(0, 2));
    log.readBehavior = MemoryLog.Behavior.REJECTS_CALLS;
    List<ItemFinished> more = new ArrayList<>(wanted);
    more.add(appendResult("y", "new"));
    assertThat(read(more).get(0).size(), equalTo(5));
    assertThat(read(List.of(appendResult("z", "newer"))), empty());
    assertThat(failures, contains("refused"));
  }

  @Test
  void aMissingTextIsAFailure() {
    List<ItemFinished> wanted = appendResult(3);
    log.truncate(STREAM, 2);
    assertThat(read(wanted), empty());
    assertThat(failures, contains("results.0 has no text at 0"));
  }

  @Test
  void evictedTextsAreReadAgain() {
    String large = "x".repeat(1_000_000);
    List<ItemFinished> wanted = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      wanted.add(appendResult("x" + i, large));
    }
    for (ItemFinished result : wanted) {
      assertThat(read(List.of(result)).get(0), contains(large));
    }
    int reads = countingLog.reads;
    read(wanted.subList(11, 12));
    assertThat(countingLog.reads, equalTo(reads));
    assertThat(read(wanted.subList(0, 1)).get(0), contains(large));
    assertThat(reads, lessThan(countingLog.reads));
  }
}
