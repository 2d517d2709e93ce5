package org.passhaven.node;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.passhaven.spi.Timers;

/** Timers with a simulated clock that the test advances. */
public final class ManualTimers implements Timers {
  /** A scheduled task; tasks due at the same time run in the order of scheduling. */
  private record Task(long dueMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::sequence));
  private long currentMillis;
  private long nextSequence;
  private long timeOfDayAheadMillis;

  @Override
  public long nowMillis() {
    return currentMillis;
  }

  @Override
  public long timeOfDayMillis() {
    return currentMillis + timeOfDayAheadMillis;
  }

  /** Simulates a suspension of the machine: only the time of day advances. */
  public void suspend(long millis) {
    timeOfDayAheadMillis += millis;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    Task scheduled = new Task(currentMillis + Math.max(0, delayMillis), nextSequence++, task);
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  /** Returns the number of scheduled tasks. */
  public int pendingTaskCount() {
    return tasks.size();
  }

  /** Advances the clock and runs the tasks that become due. */
  public void advance(long millis) {
    long endMillis = currentMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().dueMillis() <= endMillis) {
      Task next = tasks.poll();
      currentMillis = Math.max(currentMillis, next.dueMillis());
      next.action().run();
    }
    currentMillis = endMillis;
  }
}
