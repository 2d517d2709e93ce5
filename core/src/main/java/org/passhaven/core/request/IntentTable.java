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
 * Replicated state of one stream of intents: for each idempotency key, which writer may run its
 * request, and the recorded response.
 *
 * <p>Invariant: a key's request is sent only by the writer of its first applied intent that was not
 * withdrawn. It therefore runs at most once, also with concurrent attempts and after a crash, as
 * long as the table holds its key: only the newest {@value #MAX_KEYS} keys are kept. Not
 * thread-safe.
 */
public final class IntentTable {
  private static final String STREAM_PREFIX = "intents-";
  private static final int MAX_KEYS = 20_000;

  /**
   * State of one key.
   *
   * @param holder id of the record that reserved the key
   * @param requestDigest digest of the request, see {@link RequestDigest}
   * @param answer recorded response; null until there is one
   */
  public record Intent(RecordId holder, long requestDigest, LogRecord.IntentAnswered answer) {}

  private final WriterPositions writers = new WriterPositions();
  private final Map<String, Intent> intents = new LinkedHashMap<>();

  /** Returns the name of the stream that holds the intents of a key. */
  public static String streamOf(String key, int streams) {
    return STREAM_PREFIX + Math.floorMod(key.hashCode(), streams);
  }

  /** Returns whether a stream holds intents. */
  public static boolean isIntentStream(String stream) {
    return stream.startsWith(STREAM_PREFIX);
  }

  /** Applies one record and returns whether it took effect. */
  public boolean apply(LogEntry entry) {
    if (!writers.accept(entry.id())) {
      return false;
    }
    if (entry.record() instanceof LogRecord.IntentRecorded recorded) {
      return record(entry.id(), recorded);
    }
    if (entry.record() instanceof LogRecord.IntentAnswered answered) {
      Intent known = intents.get(answered.key());
      boolean isFirstAnswer =
          known != null && known.answer() == null && sameWriter(known.holder(), entry.id());
      if (isFirstAnswer) {
        intents.put(answered.key(), new Intent(known.holder(), known.requestDigest(), answered));
      }
      return isFirstAnswer;
    }
    if (entry.record() instanceof LogRecord.IntentWithdrawn withdrawn) {
      Intent known = intents.get(withdrawn.key());
      boolean isOwnIntent =
          known != null && known.answer() == null && sameWriter(known.holder(), entry.id());
      if (isOwnIntent) {
        intents.remove(withdrawn.key());
      }
      return isOwnIntent;
    }
    return false;
  }

  private boolean record(RecordId id, LogRecord.IntentRecorded recorded) {
    if (intents.containsKey(recorded.key())) {
      return false;
    }
    intents.put(recorded.key(), new Intent(id, recorded.requestDigest(), null));
    evictOldest();
    return true;
  }

  private void evictOldest() {
    if (intents.size() > MAX_KEYS) {
      intents.remove(intents.keySet().iterator().next());
    }
  }

  private static boolean sameWriter(RecordId first, RecordId second) {
    return first.writer().equals(second.writer()) && first.incarnation() == second.incarnation();
  }

  /** Returns the state of a key. */
  public Optional<Intent> find(String key) {
    return Optional.ofNullable(intents.get(key));
  }

  /** Returns the number of keys in the table. */
  public int size() {
    return intents.size();
  }

  /**
   * Serializable snapshot; the same prefix of the stream yields the same snapshot at every node.
   */
  public record Snapshot(List<SnapshotWriter> writers, List<SnapshotIntent> intents) {}

  /** Position of one writer in the stream. */
  public record SnapshotWriter(NodeId node, WriterPositions.Position position) {}

  /** State of one key. */
  public record SnapshotIntent(String key, Intent intent) {}

  /** Returns a snapshot of this table. */
  public Snapshot toSnapshot() {
    return new Snapshot(
        writers.toMap().entrySet().stream()
            .map(e -> new SnapshotWriter(e.getKey(), e.getValue()))
            .toList(),
        intents.entrySet().stream()
            .map(e -> new SnapshotIntent(e.getKey(), e.getValue()))
            .toList());
  }

  /** Restores a table from a snapshot. */
  public static IntentTable fromSnapshot(Snapshot snapshot) {
    IntentTable table = new IntentTable();
    Map<NodeId, WriterPositions.Position> positions = new TreeMap<>();
    snapshot.writers().forEach(writer -> positions.put(writer.node(), writer.position()));
    table.writers.restore(positions);
    snapshot.intents().forEach(entry -> table.intents.put(entry.key(), entry.intent()));
    return table;
  }
}
