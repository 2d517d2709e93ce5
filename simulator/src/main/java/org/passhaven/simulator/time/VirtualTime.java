package org.passhaven.simulator.time;

import java.util.PriorityQueue;

/** A queue of events in virtual microseconds. Same events, same order. Not thread-safe. */
public final class VirtualTime {
  /** Microseconds in a millisecond. */
  public static final long MICROS_PER_MILLI = 1_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMicros;
  private long nextSequence;
  private long executed;

  /** Virtual microseconds since the beginning. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Virtual milliseconds since the beginning. */
  public long nowMillis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  /** Events run so far. */
  public long executed() {
    return executed;
  }

  /** Runs a task after a delay. */
  public void after(long delayMicros, Runnable task) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, task));
  }

  /** Runs the next event; returns false if there is none before {@code limitMicros}. */
  public boolean runNext(long limitMicros) {
    Event next = events.peek();
    if (next == null || next.atMicros > limitMicros) {
      return false;
    }
    events.poll();
    nowMicros = next.atMicros;
    executed++;
    next.task.run();
    return true;
  }

  private record Event(long atMicros, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
