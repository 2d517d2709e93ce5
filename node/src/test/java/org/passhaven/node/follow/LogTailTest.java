package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;

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
    log.reads = MemoryLog.Manner.REFUSES;
    timers.advance(5_000);
    add("a");
    timers.advance(1_000);
    log.reads = MemoryLog.Manner.SOUND;
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
    log.reads = MemoryLog.Manner.REFUSES;
    List<Boolean> sure = new ArrayList<>();
    tail.refresh().subscribe().with(sure::add);
    assertThat(sure, equalTo(List.of(false)));
  }
}
