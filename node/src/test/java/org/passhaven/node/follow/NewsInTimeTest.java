package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.TableService;

/**
 * A read that was sent while the store said nothing hung until 3.4 s after the store was back, and
 * a node that counted as sound again went by what it had known before.
 */
class NewsInTimeTest {
  /** Time from the acknowledgement of a change to its being in force. */
  private static final long IN_FORCE_MILLIS = 2_000;

  /** Silence after which the store's client gives a call up, beside the time that it may wait. */
  private static final long CALL_LIMIT_MILLIS = 1_200;

  private static final long STEP_MILLIS = 50;
  private static final long ANSWER_MILLIS = 5;
  private static final long SETTLED_MILLIS = 10_000;

  /** A store that answers nothing for a time, also later what was asked in that time. */
  private static final class SilentStore implements TableService {
    private final ManualTimers timers;
    private final List<Entry> records = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean isSilent;

    SilentStore(ManualTimers timers) {
      this.timers = timers;
    }

    void beSilent() {
      isSilent = true;
      waiting.clear();
    }

    /** What waits for news is answered over connections that carry nothing more. */
    void loseAnswers() {
      waiting.clear();
    }

    void beBack() {
      isSilent = false;
    }

    void change() {
      records.add(new Entry("key" + records.size(), new byte[1]));
      List<Runnable> woken = List.copyOf(waiting);
      waiting.clear();
      woken.forEach(Runnable::run);
    }

    @Override
    public Uni<Page> list(String table, String afterKey) {
      return Uni.createFrom().item(new Page(List.of(), false, 0));
    }

    @Override
    public Uni<Void> put(String table, List<Entry> entries) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Changes> changes(String table, long from, long waitMillis) {
      Uni<Changes> read =
          Uni.createFrom()
              .emitter(
                  emitter -> {
                    if (isSilent) {
                      return;
                    }
                    boolean[] answered = new boolean[1];
                    Runnable answer =
                        () -> {
                          if (answered[0]) {
                            return;
                          }
                          answered[0] = true;
                          List<Entry> news =
                              List.copyOf(records.subList((int) from, records.size()));
                          timers.after(
                              ANSWER_MILLIS,
                              () -> emitter.complete(new Changes(news, false, from + news.size())));
                        };
                    if (waitMillis == 0 || records.size() > from) {
                      answer.run();
                    } else {
                      waiting.add(answer);
                      timers.after(
                          waitMillis,
                          () -> {
                            if (waiting.remove(answer)) {
                              answer.run();
                            }
                          });
                    }
                  });
      return timers.withIdleTimeout(
          signOfLife -> read, waitMillis + CALL_LIMIT_MILLIS, "store: changes");
    }
  }

  private final ManualTimers timers = new ManualTimers();
  private final SilentStore store = new SilentStore(timers);
  private final List<String> keys = new ArrayList<>();

  private void follow() {
    new TableFollower(
            store,
            timers,
            "operator",
            Duration.ofMillis(IN_FORCE_MILLIS),
            () -> 0,
            new TableFollower.Listener() {
              @Override
              public void onDocument(String key, byte[] value) {
                keys.add(key);
              }

              @Override
              public void onListed(Set<String> listed) {}
            })
        .start();
  }

  private void assertInForceInTime(String when) {
    store.change();
    timers.advance(IN_FORCE_MILLIS);
    assertThat(when, keys, equalTo(List.of("key0")));
    timers.advance(SETTLED_MILLIS);
    assertThat(when, keys, equalTo(List.of("key0")));
  }

  @Test
  void aChangeAfterAnOutageIsKnownInTime() {
    for (long outage = STEP_MILLIS; outage <= SETTLED_MILLIS; outage += STEP_MILLIS) {
      NewsInTimeTest each = new NewsInTimeTest();
      each.follow();
      each.timers.advance(SETTLED_MILLIS);
      each.store.beSilent();
      each.timers.advance(outage);
      each.store.beBack();
      each.assertInForceInTime("after an outage of " + outage + " ms");
    }
  }

  @Test
  void aChangeOfWhichTheAnswerIsLostIsKnownInTime() {
    for (long moment = 0; moment <= SETTLED_MILLIS / 2; moment += STEP_MILLIS) {
      NewsInTimeTest each = new NewsInTimeTest();
      each.follow();
      each.timers.advance(SETTLED_MILLIS + moment);
      each.store.loseAnswers();
      each.assertInForceInTime("lost after " + moment + " ms");
    }
  }
}
