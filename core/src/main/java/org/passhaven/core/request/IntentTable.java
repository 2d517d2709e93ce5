package org.passhaven.core.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.passhaven.core.log.WriterPositions;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

/**
 * Fold of one stream of intents: for each idempotency key, who may run its request and what it
 * answered.
 *
 * <p>Invariant: a key's request is sent only by the writer of its first folded intent that was not
 * withdrawn, so it runs at most once whoever else tries, also after a crash. Not thread-safe.
 */
public final class IntentTable {
  private static final String STREAM_PREFIX = "intents-";
  private static final int MOST_KEYS = 20_000;

  /** What is known of one key. */
  public record Intent(RecordId holder, long requestDigest, LogRecord.IntentAnswered answer) {}

  private final WriterPositions writers = new WriterPositions();
  private final Map<String, Intent> intents = new LinkedHashMap<>();

  /** Stream that holds the intents of a key. */
  public static String streamOf(String key, int streams) {
    return STREAM_PREFIX + Math.floorMod(key.hashCode(), streams);
  }

  /** Whether a stream holds intents. */
  public static boolean isIntentStream(String stream) {
    return stream.startsWith(STREAM_PREFIX);
  }

  /** Folds one record; returns whether it took effect. */
  public boolean apply(LogEntry entry) {
    if (!writers.accept(entry.id())) {
      return false;
    }
    if (entry.record() instanceof LogRecord.IntentRecorded recorded) {
      return record(entry.id(), recorded);
    }
    if (entry.record() instanceof LogRecord.IntentAnswered answered) {
      Intent known = intents.get(answered.key());
      boolean first =
          known != null && known.answer() == null && sameWriter(known.holder(), entry.id());
      if (first) {
        intents.put(answered.key(), new Intent(known.holder(), known.requestDigest(), answered));
      }
      return first;
    }
    if (entry.record() instanceof LogRecord.IntentWithdrawn withdrawn) {
      Intent known = intents.get(withdrawn.key());
      boolean own =
          known != null && known.answer() == null && sameWriter(known.holder(), entry.id());
      if (own) {
        intents.remove(withdrawn.key());
      }
      return own;
    }
    return false;
  }

  private boolean record(RecordId id, LogRecord.IntentRecorded recorded) {
    if (intents.containsKey(recorded.key())) {
      return false;
    }
    intents.put(recorded.key(), new Intent(id, recorded.requestDigest(), null));
    forgetOldest();
    return true;
  }

  private void forgetOldest() {
    if (intents.size() > MOST_KEYS) {
      intents.remove(intents.keySet().iterator().next());
    }
  }

  private static boolean sameWriter(RecordId first, RecordId second) {
    return first.writer().equals(second.writer()) && first.incarnation() == second.incarnation();
  }

  /** What is known of a key. */
  public Optional<Intent> find(String key) {
    return Optional.ofNullable(intents.get(key));
  }

  /** Number of keys held. */
  public int size() {
    return intents.size();
  }

  /** Encodable image; the same prefix of the stream gives the same image at every node. */
  public record Snapshot(List<SnapshotWriter> writers, List<SnapshotIntent> intents) {}

  /** Position of one writer. */
  public record SnapshotWriter(NodeId node, WriterPositions.Position position) {}

  /** One key. */
  public record SnapshotIntent(String key, Intent intent) {}

  /** Image for a snapshot. */
  public Snapshot toSnapshot() {
    return new Snapshot(
        writers.toMap().entrySet().stream()
            .map(e -> new SnapshotWriter(e.getKey(), e.getValue()))
            .toList(),
        intents.entrySet().stream()
            .map(e -> new SnapshotIntent(e.getKey(), e.getValue()))
            .toList());
  }

  /** Table restored from a snapshot. */
  public static IntentTable fromSnapshot(Snapshot snapshot) {
    IntentTable table = new IntentTable();
    Map<NodeId, WriterPositions.Position> positions = new TreeMap<>();
    snapshot.writers().forEach(writer -> positions.put(writer.node(), writer.position()));
    table.writers.restore(positions);
    snapshot.intents().forEach(entry -> table.intents.put(entry.key(), entry.intent()));
    return table;
  }
}
