package org.passhaven.node;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;

/** A log in memory whose calls a test makes fail, lose their answers or be forgotten. */
public final class MemoryLog implements LogService {
  /** How calls behave. */
  public enum Behavior {
    NORMAL,
    /** Nothing is done, and the caller is told. */
    REJECTS_CALLS,
    /** The append is done, its answer is lost. */
    LOSES_RESPONSES,
    /** Nothing is done, and no answer comes. */
    NEVER_RESPONDS
  }

  private final ManualTimers timers;
  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private final Map<String, Long> firstKept = new HashMap<>();

  /** Manner of appends. */
  public Behavior appendBehavior = Behavior.NORMAL;

  /** Manner of reads. */
  public Behavior readBehavior = Behavior.NORMAL;

  /** Whether reads that begin now give no answer, ever. */
  public boolean hangReads;

  /** Appends asked for. */
  public int appendCalls;

  /** Creates an empty log. */
  public MemoryLog(ManualTimers timers) {
    this.timers = timers;
  }

  /** Names of the streams that were used. */
  public List<String> streams() {
    return List.copyOf(streams.keySet());
  }

  /** Records of a stream. */
  public List<byte[]> stream(String name) {
    return streams.computeIfAbsent(name, key -> new ArrayList<>());
  }

  /** Forgets the records before an offset. */
  public void truncate(String name, long first) {
    firstKept.put(name, first);
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> records) {
    appendCalls++;
    long offset = stream(stream).size();
    if (appendBehavior == Behavior.NORMAL || appendBehavior == Behavior.LOSES_RESPONSES) {
      stream(stream).addAll(records);
    }
    return switch (appendBehavior) {
      case NORMAL -> Uni.createFrom().item(offset);
      case REJECTS_CALLS -> Uni.createFrom().failure(refused());
      case LOSES_RESPONSES, NEVER_RESPONDS -> lost();
    };
  }

  private static PlatformException refused() {
    return new PlatformException(PlatformException.Kind.NOT_RUN, "refused");
  }

  private Uni<Long> lost() {
    return timers.withTimeout(Uni.createFrom().nothing(), 1_000, "append");
  }

  @Override
  public Uni<Batch> read(String stream, long fromOffset, int most, long waitMillis) {
    if (hangReads) {
      return Uni.createFrom().nothing();
    }
    if (readBehavior != Behavior.NORMAL) {
      return Uni.createFrom().failure(refused());
    }
    return Uni.createFrom()
        .emitter(
            emitter ->
                poll(stream, fromOffset, most, timers.nowMillis() + waitMillis, emitter::complete));
  }

  private void poll(
      String stream, long from, int most, long until, java.util.function.Consumer<Batch> answer) {
    long first = firstKept.getOrDefault(stream, 0L);
    List<byte[]> all = stream(stream);
    if (from < first) {
      answer.accept(new Batch(first, List.of(), Long.MAX_VALUE));
    } else if (all.size() > from || timers.nowMillis() >= until) {
      int end = (int) Math.min(all.size(), from + most);
      answer.accept(
          new Batch(from, from < end ? all.subList((int) from, end) : List.of(), all.size()));
    } else {
      timers.after(5, () -> poll(stream, from, most, until, answer));
    }
  }
}
