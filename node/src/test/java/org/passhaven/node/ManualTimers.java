package org.passhaven.node;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.passhaven.spi.Timers;

/** Timers that run when the test says how far time goes. */
public final class ManualTimers implements Timers {
  private record Task(long at, long order, Runnable run) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  private long now;
  private long order;
  private long timeOfDayAheadMillis;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public long timeOfDayMillis() {
    return now + timeOfDayAheadMillis;
  }

  /** The machine is suspended for a time, which the monotonic clock does not count. */
  public void suspend(long millis) {
    timeOfDayAheadMillis += millis;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    Task set = new Task(now + Math.max(0, delayMillis), order++, task);
    tasks.add(set);
    return () -> tasks.remove(set);
  }

  /** Timers that are set. */
  public int pendingTaskCount() {
    return tasks.size();
  }

  /** Lets time pass and runs what falls due. */
  public void advance(long millis) {
    long until = now + millis;
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      Task next = tasks.poll();
      now = Math.max(now, next.at());
      next.run().run();
    }
    now = until;
  }
}
