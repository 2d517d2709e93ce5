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

/** Durable intents of one stream: decides whether this node may send the request of a key. */
final class IntentAgent implements StreamListener {
  /** Whether the request of a key may be sent. */
  sealed interface Decision {
    /** This node holds the key and must send the request, or withdraw. */
    record Run() implements Decision {}

    /** The request of this key was answered before. */
    record Answered(Response response) implements Decision {}

    /** Another request used this key. */
    record KeyReused() implements Decision {}

    /** Another try of this key may have run; its answer is not known in time. */
    record Unknown() implements Decision {}

    /** The intent could not be made durable; the request will not be sent. */
    record NotDurable() implements Decision {}
  }

  private static final int SNAPSHOT_EVERY_RECORDS = 2_000;
  private static final long IDLE_MILLIS = 60_000;
  private final NodeContext context;
  private final StreamClient stream;
  private IntentTable table = new IntentTable();
  private int recordsSinceSnapshot;
  private long usedAtMillis;
  private final Map<String, List<Waiting>> waiting = new HashMap<>();

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
      answerWaiting(answered.key());
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
    if (recordsSinceSnapshot >= SNAPSHOT_EVERY_RECORDS) {
      recordsSinceSnapshot = 0;
      stream.writeSnapshot(Codec.encode(table.toSnapshot()));
    }
  }

  /** Stops following the stream if nothing was asked of it for a while; returns whether it did. */
  boolean closeIfIdle() {
    boolean idle =
        context.timers().nowMillis() - usedAtMillis > IDLE_MILLIS
            && stream.backlog() == 0
            && waiting.isEmpty();
    if (idle) {
      stream.close();
    }
    return idle;
  }

  /** Whether an intent can be made durable soon. */
  boolean isDown() {
    return stream.isDown();
  }

  /** Records the intent of a key, or finds what became of an earlier one, within a time limit. */
  Uni<Decision> begin(String key, long requestDigest, long limitMillis) {
    usedAtMillis = context.timers().nowMillis();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Begin begin =
                  new Begin(
                      key, requestDigest, emitter, context.timers().nowMillis() + limitMillis);
              begin.timer = context.timers().after(limitMillis, () -> giveUp(begin));
              stream
                  .append(new LogRecord.IntentRecorded(key, requestDigest))
                  .subscribe()
                  .with(first -> onReadBack(begin, first));
            });
  }

  private void giveUp(Begin begin) {
    if (!begin.finished) {
      // If the intent is read back as the first one after all, it is withdrawn then.
      begin.finish(new Decision.NotDurable());
    }
  }

  private void onReadBack(Begin begin, boolean first) {
    if (begin.finished) {
      if (first) {
        withdraw(begin.key);
      }
      return;
    }
    if (first) {
      begin.finish(new Decision.Run());
      return;
    }
    Optional<IntentTable.Intent> known = table.find(begin.key);
    if (known.isPresent() && known.get().requestDigest() != begin.requestDigest) {
      begin.finish(new Decision.KeyReused());
    } else if (known.isPresent() && known.get().answer() == null) {
      awaitAnswer(begin);
    } else if (known.isPresent()) {
      begin.finish(new Decision.Answered(toResponse(known.get().answer())));
    } else {
      begin.finish(new Decision.NotDurable());
    }
  }

  private void awaitAnswer(Begin begin) {
    begin.timer.cancel();
    Waiting entry = new Waiting(begin);
    waiting.computeIfAbsent(begin.key, ignored -> new ArrayList<>()).add(entry);
    long left = Math.max(0, begin.deadlineMillis - context.timers().nowMillis());
    begin.timer = context.timers().after(left, () -> begin.finish(new Decision.Unknown()));
  }

  private void answerWaiting(String key) {
    List<Waiting> entries = waiting.remove(key);
    Optional<IntentTable.Intent> known = table.find(key);
    if (entries == null || known.isEmpty() || known.get().answer() == null) {
      return;
    }
    Response response = toResponse(known.get().answer());
    entries.forEach(entry -> entry.begin().finish(new Decision.Answered(response)));
  }

  /** Records the answer of a key that this node ran. */
  void answered(String key, Response response) {
    stream
        .append(
            new LogRecord.IntentAnswered(
                key, response.status(), response.contentType(), response.body()))
        .subscribe()
        .with(effective -> {});
  }

  /** No byte of the key's request was sent: a later try may run. */
  void withdraw(String key) {
    stream.append(new LogRecord.IntentWithdrawn(key)).subscribe().with(effective -> {});
  }

  private static Response toResponse(LogRecord.IntentAnswered answered) {
    return new Response(answered.status(), answered.contentType(), answered.body());
  }

  private record Waiting(Begin begin) {}

  private static final class Begin {
    final String key;
    final long requestDigest;
    final UniEmitter<? super Decision> emitter;
    final long deadlineMillis;
    Timers.Timer timer;
    boolean finished;

    Begin(
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
