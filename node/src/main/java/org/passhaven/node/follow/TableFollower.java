package org.passhaven.node.follow;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.passhaven.spi.TableService;
import org.passhaven.spi.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps up with a table: lists it, then follows its changes; lists it anew when changes were
 * missed. Used on the node's thread.
 */
public final class TableFollower {
  private static final Logger LOG = LoggerFactory.getLogger(TableFollower.class);

  /** Leaves the longest wait to the store. */
  private static final Duration NO_HURRY = Duration.ofDays(1);

  /** The longest time for which the store waits for news before it answers that there is none. */
  private static final long MAX_WAIT_MILLIS = 2_200;

  /** A store is not asked more often, however soon news must come. */
  private static final long MIN_WAIT_MILLIS = 100;

  /**
   * Time after the wait within which an answer comes, also one of a slow store or of a connection
   * that is found silent.
   */
  private static final long OVERDUE_MILLIS = 400;

  /** What the read takes that is begun in place of an overdue one, also where the store is slow. */
  private static final long REPLACEMENT_MILLIS = 200;

  /**
   * A refresh that was begun while the store was silent must not hold up those after it. Above the
   * 250 ms of a slow store.
   */
  private static final long REFRESH_LIMIT_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Takes documents. */
  public interface Listener {
    /** A document is new or changed; {@code value} is null if it was removed. */
    void onDocument(String key, byte[] value);

    /** The table was listed whole: no other keys exist. */
    void onListed(Set<String> keys);
  }

  private final TableService tables;
  private final Timers timers;
  private final String table;
  private final long waitMillis;
  private final LongSupplier betweenMillis;
  private final Listener listener;
  private final Set<String> listedKeys = new HashSet<>();
  private long firstEnd;
  private long position;
  private boolean listed;
  private boolean isListing;
  private final Outage outage;
  private final SharedRefresh refresh = new SharedRefresh(this::readNow);
  private final CurrentRead current = new CurrentRead();
  private final ReadPause pause;
  private Timers.Timer overdue = () -> {};
  private long answeredAtMillis = NEVER;

  /** Creates a follower of a table whose news may come late when an answer is lost. */
  public TableFollower(
      TableService tables,
      Timers timers,
      String table,
      LongSupplier betweenMillis,
      Listener listener) {
    this(tables, timers, table, NO_HURRY, betweenMillis, listener);
  }

  /**
   * Creates a follower; {@link #start} begins.
   *
   * @param inTime time within which news must be known here, also if one answer is lost
   * @param betweenMillis pause after changes, so that a busy table is read in batches; asked each
   *     time
   */
  public TableFollower(
      TableService tables,
      Timers timers,
      String table,
      Duration inTime,
      LongSupplier betweenMillis,
      Listener listener) {
    this.waitMillis =
        Math.max(
            MIN_WAIT_MILLIS,
            Math.min(MAX_WAIT_MILLIS, inTime.toMillis() - OVERDUE_MILLIS - REPLACEMENT_MILLIS));
    this.tables = Objects.requireNonNull(tables, "tables");
    this.timers = Objects.requireNonNull(timers, "timers");
    this.table = Objects.requireNonNull(table, "table");
    this.betweenMillis = Objects.requireNonNull(betweenMillis, "betweenMillis");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.outage = new Outage(LOG, "table", table);
    this.pause = new ReadPause(timers, this::await);
  }

  /** Begins to follow. */
  public void start() {
    listAnew();
  }

  /** Whether the table was listed whole once. */
  public boolean isListed() {
    return listed;
  }

  /** Whether the documents that are given now come from a listing, not from changes. */
  public boolean isListing() {
    return isListing;
  }

  private void listAnew() {
    isListing = true;
    listedKeys.clear();
    listAfter("");
  }

  private void listAfter(String key) {
    tables
        .list(table, key)
        .subscribe()
        .with(page -> onPage(page, key.isEmpty()), failure -> onFailure(failure, this::listAnew));
  }

  /** Whether the table was read to its end within a time, as far as this node's clock tells. */
  public boolean wasReadWithin(long millis) {
    return listed && timers.nowMillis() - answeredAtMillis <= millis;
  }

  /**
   * How long ago the table was last read to its end, as far as this node's clock tells; empty if it
   * never was, or not since a suspension.
   */
  public OptionalLong millisSinceLastRead() {
    return answeredAtMillis == NEVER
        ? OptionalLong.empty()
        : OptionalLong.of(timers.nowMillis() - answeredAtMillis);
  }

  private void onPage(TableService.Page page, boolean isFirst) {
    outage.onSuccess(position);
    if (isFirst) {
      firstEnd = page.end();
    }
    page.entries().forEach(this::give);
    page.entries().forEach(entry -> listedKeys.add(entry.key()));
    if (page.more() && !page.entries().isEmpty()) {
      listAfter(page.entries().get(page.entries().size() - 1).key());
      return;
    }
    // Pages are no snapshot: changes that came in between are read again from the first page's end.
    listener.onListed(Set.copyOf(listedKeys));
    position = firstEnd;
    isListing = false;
    if (!listed) {
      LOG.atInfo()
          .addKeyValue("table", table)
          .addKeyValue("documents", listedKeys.size())
          .log("table: listed");
    }
    listed = true;
    answeredAtMillis = timers.nowMillis();
    await();
  }

  /** Waits for news. */
  private void await() {
    overdue.cancel();
    overdue = timers.after(waitMillis + OVERDUE_MILLIS, this::onOverdue);
    read(waitMillis);
  }

  /**
   * Reads without waiting for news. What is sent to a store that is silent is not answered, also
   * when the store is back: a read that doesn't wait is given up sooner, and another one tells of
   * the store's return.
   */
  private void readAtOnce() {
    overdue.cancel();
    read(0);
  }

  private void read(long forMillis) {
    current.begin(
        tables.changes(table, position, forMillis),
        this::onChanges,
        failure -> onFailure(failure, this::readAtOnce));
  }

  private void onOverdue() {
    LOG.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("next", position)
        .addKeyValue("silentMillis", timers.nowMillis() - answeredAtMillis)
        .log("table: a read that waits for news is overdue, another one is begun");
    readAtOnce();
  }

  /** The read that waits may never be answered: another one takes its place. */
  public void restartReads() {
    answeredAtMillis = NEVER;
    if (pause.isRunning()) {
      endReadPause();
    } else if (current.isUnderWay()) {
      readAtOnce();
    }
  }

  /**
   * Reads what is there now, beside the waiting read. Gives true once all changes that were made
   * before the call have been given, false if the table could not be read.
   */
  public Uni<Boolean> refresh() {
    return listed && !isListing ? refresh.ask() : Uni.createFrom().item(false);
  }

  private Uni<Boolean> readNow() {
    long from = position;
    return timers
        .withTimeout(tables.changes(table, from, 0), REFRESH_LIMIT_MILLIS, "table: refresh")
        .chain(changes -> onRefreshed(from, changes));
  }

  /** One answer may not hold all changes: the last one has none. */
  private Uni<Boolean> onRefreshed(long from, TableService.Changes changes) {
    if (changes.truncated() || isListing) {
      return Uni.createFrom().item(false);
    }
    if (from == position) {
      boolean isAll = changes.end() == from;
      take(changes);
      if (isAll) {
        return Uni.createFrom().item(true);
      }
      if (current.isUnderWay()) {
        // What waits would bring the same changes again, over newer ones.
        readAtOnce();
      }
    }
    return readNow();
  }

  private void onChanges(TableService.Changes changes) {
    overdue.cancel();
    outage.onSuccess(position);
    if (changes.truncated()) {
      LOG.atWarn().addKeyValue("table", table).addKeyValue("at", position).log("table: gap");
      listAnew();
      return;
    }
    take(changes);
    pause.begin(changes.entries().isEmpty() ? 0 : betweenMillis.getAsLong());
  }

  private void take(TableService.Changes changes) {
    changes.entries().forEach(this::give);
    position = changes.end();
    answeredAtMillis = timers.nowMillis();
  }

  /** Somebody waits for news of the table: a pause between reads ends now. */
  public void endReadPause() {
    pause.cutShort();
  }

  /** A document that its listener can't take must not end the reading of all that follow. */
  private void give(TableService.Entry entry) {
    try {
      listener.onDocument(entry.key(), entry.value());
    } catch (RuntimeException e) {
      LOG.atError()
          .addKeyValue("table", table)
          .addKeyValue("key", entry.key())
          .setCause(e)
          .log("table: a document was not taken");
    }
  }

  private void onFailure(Throwable failure, Runnable again) {
    overdue.cancel();
    timers.after(outage.onFailure(failure, position), again);
  }
}
