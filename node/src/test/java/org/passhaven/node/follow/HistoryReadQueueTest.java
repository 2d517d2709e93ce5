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
  /** Reads that a node has under way before it knows the way to the log. */
  private static final int AT_FIRST = 4;

  private final ManualTimers timers = new ManualTimers();
  private final HeldLog log = new HeldLog();
  private final HistoryReadQueue reads = new HistoryReadQueue(log, timers);
  private final List<String> ends = new ArrayList<>();

  /** A log whose answers the test gives. */
  private static final class HeldLog implements LogService {
    private final Map<String, UniEmitter<? super Batch>> asked = new LinkedHashMap<>();
    private final List<String> cancelled = new ArrayList<>();

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                asked.put(stream, emitter);
                emitter.onTermination(
                    () -> {
                      if (asked.remove(stream) != null) {
                        cancelled.add(stream);
                      }
                    });
              });
    }

    void answer(String stream) {
      asked.remove(stream).complete(new Batch(0, List.of(), 0));
    }

    void lose(String stream) {
      asked
          .remove(stream)
          .fail(new PlatformException(PlatformException.Kind.OUTCOME_UNKNOWN, "lost"));
    }
  }

  private Cancellable ask(Uni<LogService.Batch> read, String stream) {
    return read.subscribe().with(batch -> ends.add(stream), failure -> ends.add("no " + stream));
  }

  private List<Cancellable> ask(int streams) {
    List<Cancellable> asked = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      asked.add(ask(reads.read("s." + i, 0), "s." + i));
    }
    return asked;
  }

  @Test
  void noMoreThanTheWindowAllowsAreUnderWay() {
    ask(AT_FIRST + 3);
    assertThat(log.asked.keySet(), hasSize(AT_FIRST));
    timers.advance(500);
    log.answer("s.0");
    assertThat(log.asked.keySet(), contains("s.1", "s.2", "s.3", "s.4"));
    assertThat(ends, contains("s.0"));
  }

  @Test
  void aLostReadIsToldAndLeavesFewerTurns() {
    ask(AT_FIRST + 3);
    timers.advance(1_200);
    log.lose("s.0");
    assertThat(ends, contains("no s.0"));
    assertThat(log.asked.keySet(), contains("s.1", "s.2", "s.3"));
    log.answer("s.1");
    assertThat(log.asked.keySet(), contains("s.2", "s.3"));
    log.answer("s.2");
    assertThat(log.asked.keySet(), contains("s.3"));
  }

  @Test
  void aCancelledReadIsCancelledAtTheLogAndMakesRoom() {
    List<Cancellable> asked = ask(AT_FIRST + 2);
    asked.get(1).cancel();
    assertThat(log.cancelled, contains("s.1"));
    assertThat(log.asked.keySet(), contains("s.0", "s.2", "s.3", "s.4"));
    asked.get(5).cancel();
    timers.advance(500);
    log.answer("s.0");
    assertThat(log.asked.keySet(), contains("s.2", "s.3", "s.4"));
    assertThat(ends, contains("s.0"));
  }

  @Test
  void textsOfARunComeBeforeOtherHistory() {
    ask(AT_FIRST + 1);
    ask(reads.readWithPriority("texts.0", 0), "texts.0");
    timers.advance(500);
    log.answer("s.0");
    assertThat(log.asked.keySet(), contains("s.1", "s.2", "s.3", "texts.0"));
    assertThat(log.cancelled, empty());
  }
}
