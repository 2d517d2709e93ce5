package org.passhaven.node.request;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.request.IntentTable;
import org.passhaven.node.NodeContext;
import org.passhaven.node.stream.StreamClient;
import org.passhaven.node.stream.StreamListener;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.spi.ServiceBackEnd.Response;
import org.passhaven.spi.Timers;

/**
 * Decides whether this node may send the request of an idempotency key. An intent is a record that
 * a node is about to send the request of a key; the first intent of a key that is not withdrawn
 * permits its writer to send the request. Each agent records the intents and the responses of the
 * keys of one stream.
 */
final class IntentAgent implements StreamListener {
  /** The decision on whether this node may send the request of a key. */
  sealed interface Decision {
    /**
     * This node recorded the first intent of the key: it must send the request or withdraw the
     * intent.
     */
    record Send() implements Decision {}

    /** The request of this key already has a response. */
    record Answered(Response response) implements Decision {}

    /** The key was already used for a different request. */
    record KeyReused() implements Decision {}

    /** Another attempt with this key may have run; its response did not arrive in time. */
    record OutcomeUnknown() implements Decision {}

    /** The intent could not be made durable in time; this node must not send the request. */
    record NotDurable() implements Decision {}
  }

  private static final int SNAPSHOT_INTERVAL_RECORDS = 2_000;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;
  private final NodeContext context;
  private final StreamClient stream;
  private IntentTable table = new IntentTable();
  private int recordsSinceSnapshot;
  private long lastUsedMillis;
  private final Map<String, List<WaitingIntent>> waiting = new HashMap<>();

  IntentAgent(NodeContext context, String streamName) {
    this.context = Objects.requireNonNull(context, "context");
    this.stream = new StreamClient(context, streamName, this);
    stream.start();
  }

  @Override
  public boolean onEntry(LogEntry entry, boolean isOwn, long sentAtMillis) {
    boolean effective = table.apply(entry);
    recordsSinceSnapshot++;
    if (entry.record() instanceof LogRecord.IntentAnswered answered) {
      completeWaiting(answered.key());
    }
    return effective;
  }

  @Override
  public void onRestore(byte[] image) {
    table = IntentTable.fromSnapshot(Codec.decode(image, IntentTable.Snapshot.class));
    recordsSinceSnapshot = 0;
  }

  @Override
  public void onCaughtUp() {
    if (recordsSinceSnapshot >= SNAPSHOT_INTERVAL_RECORDS) {
      recordsSinceSnapshot = 0;
      stream.writeSnapshot(Codec.encode(table.toSnapshot()));
    }
  }

  /** Closes the stream if it is idle; returns whether it did. */
  boolean closeIfIdle() {
    boolean idle =
        context.timers().nowMillis() - lastUsedMillis > IDLE_TIMEOUT_MILLIS
            && stream.backlog() == 0
            && waiting.isEmpty();
    if (idle) {
      stream.close();
    }
    return idle;
  }

  /** Returns whether the log is unavailable, so that no intent can be made durable. */
  boolean isDown() {
    return stream.isDown();
  }

  /**
   * Records the intent of a key and returns the decision, at the latest when the time limit
   * expires.
   */
  Uni<Decision> recordIntent(String key, long requestDigest, long limitMillis) {
    lastUsedMillis = context.timers().nowMillis();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              PendingIntent intent =
                  new PendingIntent(
                      key, requestDigest, emitter, context.timers().nowMillis() + limitMillis);
              intent.timer = context.timers().after(limitMillis, () -> onTimeout(intent));
              stream
                  .append(new LogRecord.IntentRecorded(key, requestDigest))
                  .subscribe()
                  .with(first -> onReadBack(intent, first));
            });
  }

  private void onTimeout(PendingIntent intent) {
    if (!intent.finished) {
      // If the intent is later read back as the first of its key, it is withdrawn.
      intent.finish(new Decision.NotDurable());
    }
  }

  private void onReadBack(PendingIntent intent, boolean first) {
    if (intent.finished) {
      if (first) {
        withdraw(intent.key);
      }
      return;
    }
    if (first) {
      intent.finish(new Decision.Send());
      return;
    }
    Optional<IntentTable.Intent> known = table.find(intent.key);
    if (known.isPresent() && known.get().requestDigest() != intent.requestDigest) {
      intent.finish(new Decision.KeyReused());
    } else if (known.isPresent() && known.get().answer() == null) {
      awaitAnswer(intent);
    } else if (known.isPresent()) {
      intent.finish(new Decision.Answered(toResponse(known.get().answer())));
    } else {
      intent.finish(new Decision.NotDurable());
    }
  }

  private void awaitAnswer(PendingIntent intent) {
    intent.timer.cancel();
    WaitingIntent entry = new WaitingIntent(intent);
    waiting.computeIfAbsent(intent.key, ignored -> new ArrayList<>()).add(entry);
    long remainingMillis = Math.max(0, intent.deadlineMillis - context.timers().nowMillis());
    intent.timer =
        context.timers().after(remainingMillis, () -> intent.finish(new Decision.OutcomeUnknown()));
  }

  private void completeWaiting(String key) {
    List<WaitingIntent> entries = waiting.remove(key);
    Optional<IntentTable.Intent> known = table.find(key);
    if (entries == null || known.isEmpty() || known.get().answer() == null) {
      return;
    }
    Response response = toResponse(known.get().answer());
    entries.forEach(entry -> entry.intent().finish(new Decision.Answered(response)));
  }

  /** Records the response to a request that this node sent. */
  void recordAnswer(String key, Response response) {
    stream
        .append(
            new LogRecord.IntentAnswered(
                key, response.status(), response.contentType(), response.body()))
        .subscribe()
        .with(effective -> {});
  }

  /** Withdraws the intent of a request of which no byte was sent; a later attempt may send it. */
  void withdraw(String key) {
    stream.append(new LogRecord.IntentWithdrawn(key)).subscribe().with(effective -> {});
  }

  private static Response toResponse(LogRecord.IntentAnswered answered) {
    return new Response(answered.status(), answered.contentType(), answered.body());
  }

  /** An intent that waits for the response to an earlier attempt with its key. */
  private record WaitingIntent(PendingIntent intent) {}

  /** An intent whose decision is pending. */
  private static final class PendingIntent {
    final String key;
    final long requestDigest;
    final UniEmitter<? super Decision> emitter;
    final long deadlineMillis;
    Timers.Timer timer;
    boolean finished;

    PendingIntent(
        String key, long requestDigest, UniEmitter<? super Decision> emitter, long deadlineMillis) {
      this.key = key;
      this.requestDigest = requestDigest;
      this.emitter = emitter;
      this.deadlineMillis = deadlineMillis;
    }

    void finish(Decision decision) {
      if (!finished) {
        finished = true;
        timer.cancel();
        emitter.complete(decision);
      }
    }
  }
}
