package org.passhaven.simulator.time;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.passhaven.spi.Timers;

/**
 * A process in virtual time. Killed, all that it was to do is dropped; paused, it happens after the
 * pause, as in a process that was stopped by a signal. Its monotonic clock goes on in a pause and
 * may drift; while its machine is suspended, the clock and the timers stand still.
 */
public final class SimulatedProcess {
  private static final long PARTS_PER_MILLION = 1_000_000;
  private final VirtualTime time;
  private final String name;
  private final String zone;
  private final Deque<Runnable> heldBack = new ArrayDeque<>();
  private long generation;
  private boolean alive;
  private boolean paused;
  private boolean suspended;
  private long suspendedAtMicros;
  private long suspendedMicros;
  private long driftPartsPerMillion;
  private long timeOfDayAheadMillis;
  private long cpuNanos;
  private long timerRuns;

  /** Creates a process that is not started. */
  public SimulatedProcess(VirtualTime time, String name, String zone) {
    this.time = Objects.requireNonNull(time, "time");
    this.name = Objects.requireNonNull(name, "name");
    this.zone = Objects.requireNonNull(zone, "zone");
  }

  /** Name, used as its address. */
  public String name() {
    return name;
  }

  /** Zone. */
  public String zone() {
    return zone;
  }

  /** Number of starts so far. */
  public long generation() {
    return generation;
  }

  /** Whether it runs, paused or not. */
  public boolean isAlive() {
    return alive;
  }

  /** Whether it is paused. */
  public boolean isPaused() {
    return paused;
  }

  /** Processor time spent in its tasks; real time, so no seed fixes it. */
  public long cpuNanos() {
    return cpuNanos;
  }

  /** Timers that woke it, over all its starts. */
  public long timerRuns() {
    return timerRuns;
  }

  /** How much faster than true its clock runs. */
  public void setDrift(long partsPerMillion) {
    driftPartsPerMillion = partsPerMillion;
  }

  /** Sets its time of day ahead of true time, or back behind it. */
  public void setTimeOfDayAhead(long millis) {
    timeOfDayAheadMillis = millis;
  }

  /** Starts it; gives the generation of this start. */
  public long start() {
    alive = true;
    paused = false;
    suspended = false;
    suspendedMicros = 0;
    heldBack.clear();
    return ++generation;
  }

  /** Ends it at once with all that it was to do. */
  public void kill() {
    alive = false;
    paused = false;
    suspended = false;
    heldBack.clear();
  }

  /** Stops it from running anything for a while. */
  public void pause() {
    paused = alive;
  }

  /** The machine stands still: unlike in a pause, the monotonic clock does not count the time. */
  public void suspend() {
    if (alive && !paused) {
      paused = true;
      suspended = true;
      suspendedAtMicros = time.nowMicros();
    }
  }

  /** Time that the monotonic clock has counted. */
  private long countedMicros() {
    long until = suspended ? suspendedAtMicros : time.nowMicros();
    return until - suspendedMicros;
  }

  private void endSuspension() {
    if (suspended) {
      suspendedMicros += time.nowMicros() - suspendedAtMicros;
      suspended = false;
    }
  }

  /** Lets it run again, first what was held back. */
  public void resume() {
    endSuspension();
    paused = false;
    while (!heldBack.isEmpty() && alive && !paused) {
      run(heldBack.poll());
    }
  }

  /** Runs a task of this start of the process: now, after a pause, or never. */
  public void execute(long taskGeneration, Runnable task) {
    if (!alive || taskGeneration != generation) {
      return;
    }
    if (paused) {
      heldBack.add(() -> execute(taskGeneration, task));
      return;
    }
    run(task);
  }

  private void run(Runnable task) {
    long from = System.nanoTime();
    task.run();
    cpuNanos += System.nanoTime() - from;
  }

  /** Timers of the current start. */
  public Timers timers() {
    long ownGeneration = generation;
    return new Timers() {
      @Override
      public long nowMillis() {
        long now = countedMicros() / VirtualTime.MICROS_PER_MILLI;
        return now + now * driftPartsPerMillion / PARTS_PER_MILLION;
      }

      @Override
      public long timeOfDayMillis() {
        return time.nowMillis() + timeOfDayAheadMillis;
      }

      @Override
      public Timer after(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        long dueMicros = countedMicros() + Math.max(0, delayMillis) * VirtualTime.MICROS_PER_MILLI;
        Runnable due =
            () -> {
              if (!cancelled[0]) {
                timerRuns++;
                task.run();
              }
            };
        runAt(dueMicros, ownGeneration, () -> cancelled[0], due);
        return () -> cancelled[0] = true;
      }
    };
  }

  /** Runs a task when the monotonic clock shows a time. */
  private void runAt(
      long dueMicros, long taskGeneration, BooleanSupplier isCancelled, Runnable task) {
    time.after(
        dueMicros - countedMicros(),
        () -> {
          if (isCancelled.getAsBoolean()) {
            return;
          }
          if (suspended && taskGeneration == generation) {
            heldBack.add(() -> runAt(dueMicros, taskGeneration, isCancelled, task));
          } else if (taskGeneration == generation && countedMicros() < dueMicros) {
            runAt(dueMicros, taskGeneration, isCancelled, task);
          } else {
            execute(taskGeneration, task);
          }
        });
  }
}
