package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

class HistoryReadQueueTest {
  /** Reads in flight before the throughput of the log is known. */
  private static final int INITIAL_WINDOW = 4;

  private final ManualTimers timers = new ManualTimers();
  private final ManualLog log = new ManualLog();
  private final HistoryReadQueue queue = new HistoryReadQueue(log, timers);
  private final List<String> outcomes = new ArrayList<>();

  /** Log whose reads the test completes or fails. */
  private static final class ManualLog implements LogService {
    private final Map<String, UniEmitter<? super Batch>> pending = new LinkedHashMap<>();
    private final List<String> cancelled = new ArrayList<>();

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Batch> read(String stream, long from, int maxRecords, long waitMillis) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                pending.put(stream, emitter);
                emitter.onTermination(
                    () -> {
                      if (pending.remove(stream) != null) {
                        cancelled.add(stream);
                      }
                    });
              });
    }

    void complete(String stream) {
      pending.remove(stream).complete(new Batch(0, List.of(), 0));
    }

    void fail(String stream) {
      pending
          .remove(stream)
          .fail(new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "lost"));
    }
  }

  private Cancellable startRead(Uni<LogService.Batch> read, String stream) {
    return read.subscribe()
        .with(batch -> outcomes.add(stream), failure -> outcomes.add("no " + stream));
  }

  private List<Cancellable> startReads(int streams) {
    List<Cancellable> started = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      started.add(startRead(queue.read("s." + i, 0), "s." + i));
    }
    return started;
  }

  @Test
  void readsInFlightDoNotExceedTheWindow() {
    startReads(INITIAL_WINDOW + 3);
    assertThat(log.pending.keySet(), hasSize(INITIAL_WINDOW));
    timers.advance(500);
    log.complete("s.0");
    assertThat(log.pending.keySet(), contains("s.1", "s.2", "s.3", "s.4"));
    assertThat(outcomes, contains("s.0"));
  }

  @Test
  void failedReadIsReportedAndShrinksTheWindow() {
    startReads(INITIAL_WINDOW + 3);
    timers.advance(1_200);
    log.fail("s.0");
    assertThat(outcomes, contains("no s.0"));
    assertThat(log.pending.keySet(), contains("s.1", "s.2", "s.3"));
    log.complete("s.1");
    assertThat(log.pending.keySet(), contains("s.2", "s.3"));
    log.complete("s.2");
    assertThat(log.pending.keySet(), contains("s.3"));
  }

  @Test
  void cancelledReadIsCancelledAtTheLogAndFreesItsSlot() {
    List<Cancellable> started = startReads(INITIAL_WINDOW + 2);
    started.get(1).cancel();
    assertThat(log.cancelled, contains("s.1"));
    assertThat(log.pending.keySet(), contains("s.0", "s.2", "s.3", "s.4"));
    started.get(5).cancel();
    timers.advance(500);
    log.complete("s.0");
    assertThat(log.pending.keySet(), contains("s.2", "s.3", "s.4"));
    assertThat(outcomes, contains("s.0"));
  }

  @Test
  void priorityReadIsStartedBeforeQueuedReads() {
    startReads(INITIAL_WINDOW + 1);
    startRead(queue.readWithPriority("texts.0", 0), "texts.0");
    timers.advance(500);
    log.complete("s.0");
    assertThat(log.pending.keySet(), contains("s.1", "s.2", "s.3", "texts.0"));
    assertThat(log.cancelled, empty());
  }
}
