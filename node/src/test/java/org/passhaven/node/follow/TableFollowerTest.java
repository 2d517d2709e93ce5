package org.passhaven.node.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.TableService;
import org.passhaven.spi.TableService.Changes;

class TableFollowerTest {
  private static final long PAUSE_MILLIS = 400;
  private final ManualTimers timers = new ManualTimers();
  private final List<String> keys = new ArrayList<>();
  private final List<Long> readTimesMillis = new ArrayList<>();
  private long remainingChanges = 3;
  private UniEmitter<? super Changes> pending;

  private final TableService tables =
      new TableService() {
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
          readTimesMillis.add(timers.nowMillis());
          if (remainingChanges-- <= 0) {
            return Uni.createFrom().emitter(emitter -> pending = emitter);
          }
          Entry entry = new Entry("key" + from, new byte[1]);
          return Uni.createFrom().item(new Changes(List.of(entry), false, from + 1));
        }
      };

  private boolean failsOnListing;
  private Error nextError;
  private final TableFollower follower =
      new TableFollower(
          tables,
          timers,
          "servers",
          () -> PAUSE_MILLIS,
          new TableFollower.Listener() {
            @Override
            public void onDocument(String key, byte[] value) {
              if (nextError != null) {
                Error error = nextError;
                nextError = null;
                throw error;
              }
              keys.add(key);
            }

            @Override
            public void onListed(Set<String> listed) {
              if (failsOnListing) {
                throw new IllegalStateException("listing");
              }
            }
          });

  @BeforeEach
  void start() {
    follower.start();
  }

  /**
   * Guards against a follower that an entry of another writer ends, such as a deeply nested one.
   */
  @Test
  void changesAreReadOnAfterADocumentThatOverflowedTheStack() {
    nextError = new StackOverflowError();
    timers.advance(3 * PAUSE_MILLIS);
    assertThat(keys, equalTo(List.of("key0", "key2")));
  }

  /** Guards against a follower that counts as current without a document that found no memory. */
  @Test
  void aDocumentThatFoundNoMemoryIsReadAgain() {
    timers.advance(1);
    nextError = new OutOfMemoryError();
    timers.advance(PAUSE_MILLIS);
    assertThat(follower.wasReadWithin(PAUSE_MILLIS - 1), is(false));
    timers.advance(10 * PAUSE_MILLIS);
    assertThat(keys, hasItem("key1"));
  }

  @Test
  void busyTableIsReadWithPauses() {
    timers.advance(PAUSE_MILLIS - 1);
    assertThat(keys, equalTo(List.of("key0")));
    timers.advance(2 * PAUSE_MILLIS);
    assertThat(keys, equalTo(List.of("key0", "key1", "key2")));
  }

  @Test
  void changesAreReadOnAfterAListingThatTheListenerDidNotTake() {
    failsOnListing = true;
    keys.clear();
    remainingChanges = 1;
    follower.start();
    timers.advance(1);
    assertThat(keys, hasSize(1));
  }

  @Test
  void pauseCanBeEndedEarly() {
    follower.endReadPause();
    assertThat(keys, equalTo(List.of("key0", "key1")));
    assertThat(readTimesMillis.size(), equalTo(2));
    timers.advance(3 * PAUSE_MILLIS);
    // The ended pause does not start a further read.
    assertThat(readTimesMillis.size(), equalTo(4));
  }

  @Test
  void endingThePauseDuringPendingReadHasNoEffect() {
    timers.advance(3 * PAUSE_MILLIS);
    int reads = readTimesMillis.size();
    follower.endReadPause();
    assertThat(readTimesMillis.size(), equalTo(reads));
  }

  @Test
  void lateResponseOfReplacedReadIsDropped() {
    timers.advance(3 * PAUSE_MILLIS);
    UniEmitter<? super Changes> late = pending;
    remainingChanges = 1;
    follower.restartReads();
    assertThat(keys, equalTo(List.of("key0", "key1", "key2", "key3")));
    late.complete(new Changes(List.of(new TableService.Entry("old", new byte[1])), false, 3));
    timers.advance(3 * PAUSE_MILLIS);
    assertThat(keys, equalTo(List.of("key0", "key1", "key2", "key3")));
  }
}
