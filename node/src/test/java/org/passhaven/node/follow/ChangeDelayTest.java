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
 * Guards against changes that are delivered late because a read sent during an outage of the store
 * stays unanswered after it.
 */
class ChangeDelayTest {
  /** Longest time from the acknowledgement of a change to its delivery. */
  private static final long MAX_DELAY_MILLIS = 2_000;

  /** Timeout of a call of the store's client, in addition to the time that the call may wait. */
  private static final long CALL_TIMEOUT_MILLIS = 1_200;

  private static final long STEP_MILLIS = 50;
  private static final long RESPONSE_MILLIS = 5;
  private static final long SETTLE_MILLIS = 10_000;

  /** Store that can stop responding; calls made during that time are never answered. */
  private static final class UnresponsiveStore implements TableService {
    private final ManualTimers timers;
    private final List<Entry> records = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean isUnresponsive;

    UnresponsiveStore(ManualTimers timers) {
      this.timers = timers;
    }

    void stopResponding() {
      isUnresponsive = true;
      waiting.clear();
    }

    /** Drops the responses to pending reads, as broken connections do. */
    void dropPendingResponses() {
      waiting.clear();
    }

    void resumeResponding() {
      isUnresponsive = false;
    }

    void addChange() {
      records.add(new Entry("key" + records.size(), new byte[1]));
      List<Runnable> pending = List.copyOf(waiting);
      waiting.clear();
      pending.forEach(Runnable::run);
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
                    if (isUnresponsive) {
                      return;
                    }
                    boolean[] hasResponded = new boolean[1];
                    Runnable respond =
                        () -> {
                          if (hasResponded[0]) {
                            return;
                          }
                          hasResponded[0] = true;
                          List<Entry> changes =
                              List.copyOf(records.subList((int) from, records.size()));
                          timers.after(
                              RESPONSE_MILLIS,
                              () ->
                                  emitter.complete(
                                      new Changes(changes, false, from + changes.size())));
                        };
                    if (waitMillis == 0 || records.size() > from) {
                      respond.run();
                    } else {
                      waiting.add(respond);
                      timers.after(
                          waitMillis,
                          () -> {
                            if (waiting.remove(respond)) {
                              respond.run();
                            }
                          });
                    }
                  });
      return timers.withIdleTimeout(
          signOfLife -> read, waitMillis + CALL_TIMEOUT_MILLIS, "store: changes");
    }
  }

  private final ManualTimers timers = new ManualTimers();
  private final UnresponsiveStore store = new UnresponsiveStore(timers);
  private final List<String> keys = new ArrayList<>();

  private void follow() {
    new TableFollower(
            store,
            timers,
            "operator",
            Duration.ofMillis(MAX_DELAY_MILLIS),
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

  private void assertChangeIsDeliveredInTime(String scenario) {
    store.addChange();
    timers.advance(MAX_DELAY_MILLIS);
    assertThat(scenario, keys, equalTo(List.of("key0")));
    timers.advance(SETTLE_MILLIS);
    assertThat(scenario, keys, equalTo(List.of("key0")));
  }

  @Test
  void changeAfterOutageIsDeliveredInTime() {
    for (long outage = STEP_MILLIS; outage <= SETTLE_MILLIS; outage += STEP_MILLIS) {
      ChangeDelayTest each = new ChangeDelayTest();
      each.follow();
      each.timers.advance(SETTLE_MILLIS);
      each.store.stopResponding();
      each.timers.advance(outage);
      each.store.resumeResponding();
      each.assertChangeIsDeliveredInTime("after an outage of " + outage + " ms");
    }
  }

  @Test
  void changeIsDeliveredInTimeWhenResponseIsLost() {
    for (long moment = 0; moment <= SETTLE_MILLIS / 2; moment += STEP_MILLIS) {
      ChangeDelayTest each = new ChangeDelayTest();
      each.follow();
      each.timers.advance(SETTLE_MILLIS + moment);
      each.store.dropPendingResponses();
      each.assertChangeIsDeliveredInTime("lost after " + moment + " ms");
    }
  }
}
