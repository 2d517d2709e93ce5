package org.passhaven.node;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

/** An in-memory log in which a test can inject failures, lost responses and truncation. */
public final class MemoryLog implements LogService {
  /** How the log handles calls. */
  public enum Behavior {
    NORMAL,
    /** The call fails and has no effect. */
    REJECTS_CALLS,
    /** The append takes effect, but its response is lost. */
    LOSES_RESPONSES,
    /** The call has no effect and gets no response. */
    NEVER_RESPONDS
  }

  private final ManualTimers timers;
  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private final Map<String, Long> firstRetainedOffsets = new HashMap<>();

  /** How appends behave. */
  public Behavior appendBehavior = Behavior.NORMAL;

  /** How reads behave. */
  public Behavior readBehavior = Behavior.NORMAL;

  /** Whether reads that start now never complete. */
  public boolean hangReads;

  /** Size of a record above which its append is rejected. */
  public int maxRecordBytes = Integer.MAX_VALUE;

  /** Number of append calls. */
  public int appendCalls;

  /** Creates an empty log. */
  public MemoryLog(ManualTimers timers) {
    this.timers = timers;
  }

  /** Returns the names of the streams that were used. */
  public List<String> streams() {
    return List.copyOf(streams.keySet());
  }

  /** Returns the records of a stream. */
  public List<byte[]> stream(String name) {
    return streams.computeIfAbsent(name, key -> new ArrayList<>());
  }

  /** Truncates a stream: drops the records before an offset. */
  public void truncate(String name, long first) {
    firstRetainedOffsets.put(name, first);
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> records) {
    appendCalls++;
    if (records.stream().anyMatch(record -> record.length > maxRecordBytes)) {
      return Uni.createFrom().failure(refusal());
    }
    long offset = stream(stream).size();
    if (appendBehavior == Behavior.NORMAL || appendBehavior == Behavior.LOSES_RESPONSES) {
      stream(stream).addAll(records);
    }
    return switch (appendBehavior) {
      case NORMAL -> Uni.createFrom().item(offset);
      case REJECTS_CALLS -> Uni.createFrom().failure(refusal());
      case LOSES_RESPONSES, NEVER_RESPONDS -> lostResponse();
    };
  }

  private static PlatformException refusal() {
    return new PlatformException(PlatformException.Kind.NOT_RUN, "refused");
  }

  private Uni<Long> lostResponse() {
    return timers.withTimeout(Uni.createFrom().nothing(), 1_000, "append");
  }

  @Override
  public Uni<Batch> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
    if (hangReads) {
      return Uni.createFrom().nothing();
    }
    if (readBehavior != Behavior.NORMAL) {
      return Uni.createFrom().failure(refusal());
    }
    return Uni.createFrom()
        .emitter(
            emitter ->
                poll(
                    stream,
                    fromOffset,
                    maxRecords,
                    timers.nowMillis() + waitMillis,
                    emitter::complete));
  }

  private void poll(
      String stream,
      long fromOffset,
      int maxRecords,
      long deadlineMillis,
      java.util.function.Consumer<Batch> responder) {
    long first = firstRetainedOffsets.getOrDefault(stream, 0L);
    List<byte[]> all = stream(stream);
    if (fromOffset < first) {
      responder.accept(new Batch(first, List.of(), Long.MAX_VALUE));
    } else if (all.size() > fromOffset || timers.nowMillis() >= deadlineMillis) {
      int end = (int) Math.min(all.size(), fromOffset + maxRecords);
      responder.accept(
          new Batch(
              fromOffset,
              fromOffset < end ? all.subList((int) fromOffset, end) : List.of(),
              all.size()));
    } else {
      timers.after(5, () -> poll(stream, fromOffset, maxRecords, deadlineMillis, responder));
    }
  }
}
