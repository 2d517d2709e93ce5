package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.passhaven.spi.TableService;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a table: lists it, then reads its changes continuously, and lists it again if changes
 * were missed. Used on the node's thread.
 */
public final class TableFollower {
  private static final Logger LOG = LoggerFactory.getLogger(TableFollower.class);

  /** Delay limit of a follower that always uses the longest wait. */
  private static final Duration NO_DELAY_LIMIT = Duration.ofDays(1);

  /** Longest time for which the store holds a read open before it answers without changes. */
  private static final long MAX_WAIT_MILLIS = 2_200;

  /** Lower bound of the wait, which limits the load on the store. */
  private static final long MIN_WAIT_MILLIS = 100;

  /**
   * Time after the wait within which even a slow store responds, or a connection that is silent is
   * found so.
   */
  private static final long RESPONSE_MARGIN_MILLIS = 400;

  /** Duration of the read that replaces an overdue one, with a slow store. */
  private static final long REPLACEMENT_READ_MILLIS = 200;

  /**
   * Keeps a refresh that the store does not answer from delaying later ones; exceeds the 250 ms
   * that a slow store takes.
   */
  private static final long REFRESH_TIMEOUT_MILLIS = 300;

  /** Pause after memory ran out; requests in progress end and free theirs within seconds. */
  private static final long OUT_OF_MEMORY_RETRY_MILLIS = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Receives the documents of a table. */
  public interface Listener {
    /** Called when a document was added or changed; {@code value} is null if it was removed. */
    void onDocument(String key, byte[] value);

    /** Called when the table was listed completely, with all existing keys. */
    void onListed(Set<String> keys);
  }

  private final TableService tables;
  private final Timers timers;
  private final String table;
  private final long waitMillis;
  private final LongSupplier pauseMillis;
  private final Listener listener;
  private final Set<String> listedKeys = new HashSet<>();
  private long firstPageEnd;
  private long position;
  private boolean listed;
  private boolean isListing;
  private final OutageTracker outage;
  private final CoalescedRefresh refresh = new CoalescedRefresh(this::readAvailable);
  private final LatestRead latestRead = new LatestRead();
  private final ReadPause pause;
  private Timers.Timer overdueTimer = () -> {};
  private long lastReadMillis = NEVER;

  /** Creates a follower without a limit on the delay of changes. */
  public TableFollower(
      TableService tables,
      Timers timers,
      String table,
      LongSupplier pauseMillis,
      Listener listener) {
    this(tables, timers, table, NO_DELAY_LIMIT, pauseMillis, listener);
  }

  /**
   * Creates a follower; {@link #start} starts reading.
   *
   * @param maxDelay time within which changes must be delivered, even if one response is lost
   * @param pauseMillis pause after a read that returned changes, so that a busy table is read in
   *     batches; queried before each pause
   */
  public TableFollower(
      TableService tables,
      Timers timers,
      String table,
      Duration maxDelay,
      LongSupplier pauseMillis,
      Listener listener) {
    this.waitMillis =
        Math.max(
            MIN_WAIT_MILLIS,
            Math.min(
                MAX_WAIT_MILLIS,
                maxDelay.toMillis() - RESPONSE_MARGIN_MILLIS - REPLACEMENT_READ_MILLIS));
    this.tables = Objects.requireNonNull(tables, "tables");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.table = Objects.requireNonNull(table, "table");
    this.pauseMillis = Objects.requireNonNull(pauseMillis, "pauseMillis");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.outage = new OutageTracker(LOG, "table", table);
    this.pause = new ReadPause(timers, this::awaitChanges);
  }

  /** Starts reading. */
  public void start() {
    restartListing();
  }

  /** Returns whether the table has been listed completely at least once. */
  public boolean isListed() {
    return listed;
  }

  /** Returns whether documents are being delivered from a listing rather than from changes. */
  public boolean isListing() {
    return isListing;
  }

  private void restartListing() {
    isListing = true;
    listedKeys.clear();
    listAfter("");
  }

  private void listAfter(String key) {
    tables
        .list(table, key)
        .subscribe()
        .with(
            page -> onPage(page, key.isEmpty()),
            failure -> onFailure(failure, this::restartListing));
  }

  /**
   * Returns whether the table was read to its end within the last {@code millis}, by the local
   * clock.
   */
  public boolean wasReadWithin(long millis) {
    return listed && timers.nowMillis() - lastReadMillis <= millis;
  }

  /**
   * Returns the time since the table was last read to its end, by the local clock; empty if there
   * was no such read since the start or the last restart of reads.
   */
  public OptionalLong millisSinceLastRead() {
    return lastReadMillis == NEVER
        ? OptionalLong.empty()
        : OptionalLong.of(timers.nowMillis() - lastReadMillis);
  }

  private void onPage(TableService.Page page, boolean isFirst) {
    outage.onSuccess(position);
    if (isFirst) {
      firstPageEnd = page.end();
    }
    if (!deliverAll(page.entries())) {
      retryWithMoreMemory(this::restartListing);
      return;
    }
    page.entries().forEach(entry -> listedKeys.add(entry.key()));
    if (page.more() && !page.entries().isEmpty()) {
      listAfter(page.entries().get(page.entries().size() - 1).key());
      return;
    }
    // Pages are not a consistent snapshot, so changes are read from the end of the first page on.
    deliverListing();
    position = firstPageEnd;
    isListing = false;
    if (!listed) {
      LOG.atInfo()
          .addKeyValue("table", table)
          .addKeyValue("documents", listedKeys.size())
          .log("table: listed");
    }
    listed = true;
    lastReadMillis = timers.nowMillis();
    awaitChanges();
  }

  /** Starts a read that waits for changes. */
  private void awaitChanges() {
    overdueTimer.cancel();
    overdueTimer = timers.after(waitMillis + RESPONSE_MARGIN_MILLIS, this::onOverdue);
    read(waitMillis);
  }

  /**
   * Starts a read that does not wait for changes. A read sent to an unresponsive store stays
   * unanswered after the store recovers; one that does not wait times out sooner, so the recovery
   * is noticed sooner.
   */
  private void readWithoutWaiting() {
    overdueTimer.cancel();
    read(0);
  }

  private void read(long maxWaitMillis) {
    latestRead.start(
        tables.changes(table, position, maxWaitMillis),
        this::onChanges,
        failure -> onFailure(failure, this::readWithoutWaiting));
  }

  private void onOverdue() {
    LOG.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("next", position)
        .addKeyValue("silentMillis", timers.nowMillis() - lastReadMillis)
        .log("table: a read that waits for news is overdue, another one is begun");
    readWithoutWaiting();
  }

  /** Ends the pause, or replaces a pending read that may never be answered. */
  public void restartReads() {
    lastReadMillis = NEVER;
    if (pause.isRunning()) {
      endReadPause();
    } else if (latestRead.isInFlight()) {
      readWithoutWaiting();
    }
  }

  /**
   * Reads without waiting, in addition to a pending read. Returns true once all changes made before
   * the call have been delivered, false if the table could not be read.
   */
  public Uni<Boolean> refresh() {
    return listed && !isListing ? refresh.request() : Uni.createFrom().item(false);
  }

  private Uni<Boolean> readAvailable() {
    long from = position;
    return timers
        .withTimeout(tables.changes(table, from, 0), REFRESH_TIMEOUT_MILLIS, "table: refresh")
        .chain(changes -> onRefreshed(from, changes));
  }

  /** Reads on until a response contains no changes, as one response may not contain all. */
  private Uni<Boolean> onRefreshed(long from, TableService.Changes changes) {
    if (changes.truncated() || isListing) {
      return Uni.createFrom().item(false);
    }
    if (from == position) {
      boolean hasNoMore = changes.end() == from;
      if (!applyChanges(changes)) {
        // The read that is pending delivers the changes again.
        return Uni.createFrom().item(false);
      }
      if (hasNoMore) {
        return Uni.createFrom().item(true);
      }
      if (latestRead.isInFlight()) {
        // The pending read would deliver the same changes again and overwrite newer ones.
        readWithoutWaiting();
      }
    }
    return readAvailable();
  }

  private void onChanges(TableService.Changes changes) {
    overdueTimer.cancel();
    outage.onSuccess(position);
    if (changes.truncated()) {
      LOG.atWarn().addKeyValue("table", table).addKeyValue("at", position).log("table: gap");
      restartListing();
      return;
    }
    if (!applyChanges(changes)) {
      retryWithMoreMemory(this::readWithoutWaiting);
      return;
    }
    pause.start(changes.entries().isEmpty() ? 0 : pauseMillis.getAsLong());
  }

  /** Applies changes; returns false if memory ran out, so that they have to be read again. */
  private boolean applyChanges(TableService.Changes changes) {
    if (!deliverAll(changes.entries())) {
      return false;
    }
    position = changes.end();
    lastReadMillis = timers.nowMillis();
    return true;
  }

  /** Reads again later; until then the follower does not count as current. */
  private void retryWithMoreMemory(Runnable retry) {
    timers.after(OUT_OF_MEMORY_RETRY_MILLIS, retry);
    LOG.atError()
        .addKeyValue("table", table)
        .addKeyValue("next", position)
        .log("table: no memory for a document, it is read again");
  }

  /** Ends a pause between reads now; has no effect if there is none. */
  public void endReadPause() {
    pause.endNow();
  }

  /** Delivers entries in order; returns false if memory ran out at one of them. */
  private boolean deliverAll(List<TableService.Entry> entries) {
    return entries.stream().allMatch(this::deliverEntry);
  }

  /**
   * Delivers an entry; returns false if memory ran out. An entry that the listener can't take is
   * logged and left out, so that later ones are still read: other programs write entries too.
   */
  private boolean deliverEntry(TableService.Entry entry) {
    try {
      listener.onDocument(entry.key(), entry.value());
    } catch (OutOfMemoryError e) {
      return false;
    } catch (RuntimeException | StackOverflowError e) {
      LOG.atError()
          .addKeyValue("table", table)
          .addKeyValue("key", entry.key())
          .setCause(e)
          .log("table: a document was not taken");
    }
    return true;
  }

  /** Logs exceptions of the listener, so that later changes are still read. */
  private void deliverListing() {
    try {
      listener.onListed(Set.copyOf(listedKeys));
    } catch (RuntimeException e) {
      LOG.atError().addKeyValue("table", table).setCause(e).log("table: a listing was not taken");
    }
  }

  private void onFailure(Throwable failure, Runnable retry) {
    overdueTimer.cancel();
    timers.after(outage.onFailure(failure, position), retry);
  }
}
