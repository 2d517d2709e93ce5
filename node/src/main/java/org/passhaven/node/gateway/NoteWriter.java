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

/** Writes notes to a table, several in one call, and again until the store has taken them. */
final class NoteWriter {
  private static final Logger LOG = LoggerFactory.getLogger(NoteWriter.class);
  private static final long AGAIN_MILLIS = 300;
  private final GatewayContext context;
  private final String table;
  private final int mostUnwritten;

  /** The newest of each key, the oldest first. */
  private final Map<String, TableService.Entry> unwritten = new LinkedHashMap<>();

  private boolean isWriting;

  /**
   * Creates a writer.
   *
   * @param mostUnwritten keys that wait for the store at most; the oldest are dropped
   */
  NoteWriter(GatewayContext context, String table, int mostUnwritten) {
    this.context = Objects.requireNonNull(context, "context");
    this.table = Objects.requireNonNull(table, "table");
    this.mostUnwritten = mostUnwritten;
  }

  /** Keys of notes that are not written yet. */
  Set<String> unwrittenKeys() {
    return unwritten.keySet();
  }

  /** Writes notes soon; those without a value are removed. */
  void write(List<TableService.Entry> entries) {
    entries.forEach(entry -> unwritten.put(entry.key(), entry));
    while (unwritten.size() > mostUnwritten) {
      String oldest = unwritten.keySet().iterator().next();
      unwritten.remove(oldest);
      LOG.atWarn()
          .addKeyValue("table", table)
          .addKeyValue("key", oldest)
          .log("notes: too many are unwritten, one is dropped");
    }
    if (!isWriting && !unwritten.isEmpty()) {
      isWriting = true;
      // What several requests at one server have to tell goes in one call.
      context.timers().after(1, this::writeOn);
    }
  }

  private void writeOn() {
    List<TableService.Entry> batch = List.copyOf(unwritten.values());
    context
        .tables()
        .put(table, batch)
        .subscribe()
        .with(written -> onWritten(batch), this::onNotWritten);
  }

  private void onWritten(List<TableService.Entry> batch) {
    batch.forEach(entry -> unwritten.remove(entry.key(), entry));
    if (unwritten.isEmpty()) {
      isWriting = false;
    } else {
      writeOn();
    }
  }

  private void onNotWritten(Throwable failure) {
    LOG.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("unwritten", unwritten.size())
        .addKeyValue("reason", PlatformException.from(failure).getMessage())
        .log("notes: can't be written");
    context.timers().after(AGAIN_MILLIS, this::writeOn);
  }
}
