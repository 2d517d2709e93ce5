package org.passhaven.node.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes entries to a table in batches and retries until the store accepts them. Not thread-safe.
 */
final class BatchingTableWriter {
  private static final Logger LOG = LoggerFactory.getLogger(BatchingTableWriter.class);
  private static final long RETRY_DELAY_MILLIS = 300;
  private final GatewayContext context;
  private final String table;
  private final int maxUnwritten;

  /** Latest unwritten entry of each key, in insertion order. */
  private final Map<String, TableService.Entry> unwritten = new LinkedHashMap<>();

  private boolean isWriting;

  /**
   * Creates a writer.
   *
   * @param table name of the table
   * @param maxUnwritten maximum number of unwritten entries; above it the oldest are dropped
   */
  BatchingTableWriter(GatewayContext context, String table, int maxUnwritten) {
    this.context = Objects.requireNonNull(context, "context");
    this.table = Objects.requireNonNull(table, "table");
    this.maxUnwritten = maxUnwritten;
  }

  /** Returns the keys of entries that are not written yet. */
  Set<String> unwrittenKeys() {
    return unwritten.keySet();
  }

  /** Queues entries for the next batch; an entry without a value deletes its key. */
  void write(List<TableService.Entry> entries) {
    entries.forEach(entry -> unwritten.put(entry.key(), entry));
    while (unwritten.size() > maxUnwritten) {
      String oldest = unwritten.keySet().iterator().next();
      unwritten.remove(oldest);
      LOG.atWarn()
          .addKeyValue("table", table)
          .addKeyValue("key", oldest)
          .log("notes: too many are unwritten, one is dropped");
    }
    if (!isWriting && !unwritten.isEmpty()) {
      isWriting = true;
      // The delay lets entries of concurrent requests share one call.
      context.timers().after(1, this::writeBatch);
    }
  }

  private void writeBatch() {
    List<TableService.Entry> batch = List.copyOf(unwritten.values());
    context
        .tables()
        .put(table, batch)
        .subscribe()
        .with(written -> onWritten(batch), this::onWriteFailed);
  }

  private void onWritten(List<TableService.Entry> batch) {
    batch.forEach(entry -> unwritten.remove(entry.key(), entry));
    if (unwritten.isEmpty()) {
      isWriting = false;
    } else {
      writeBatch();
    }
  }

  private void onWriteFailed(Throwable failure) {
    LOG.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("unwritten", unwritten.size())
        .addKeyValue("reason", PlatformException.from(failure).getMessage())
        .log("notes: can't be written");
    context.timers().after(RETRY_DELAY_MILLIS, this::writeBatch);
  }
}
