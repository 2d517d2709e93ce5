package org.passhaven.soak.process;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.Observation;

/** One node's process over its lives. Each life is ended by its own process id only. */
public final class NodeProcess {
  private final ProcessSettings settings;
  private final LongSupplier nowMillis;
  private final Consumer<Observation> observer;
  private Process life;
  private boolean isAskedToEnd;
  private boolean isRetired;

  /** A node that is not yet started. */
  public NodeProcess(
      ProcessSettings settings, LongSupplier nowMillis, Consumer<Observation> observer) {
    this.settings = settings;
    this.nowMillis = nowMillis;
    this.observer = observer;
  }

  /** The node's name. */
  public String node() {
    return settings.node();
  }

  /** Starts a new life, unless one runs or no more may follow. */
  public synchronized void start() {
    if (isRunning() || isRetired) {
      return;
    }
    ProcessBuilder builder =
        new ProcessBuilder(settings.command())
            .directory(settings.directory().toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(settings.log().toFile()));
    builder.environment().clear();
    builder.environment().putAll(settings.environment());
    try {
      life = builder.start();
    } catch (IOException e) {
      throw new IllegalStateException("process: " + settings.command().get(0) + " can't start", e);
    }
    isAskedToEnd = false;
    Process started = life;
    tell(Happening.STARTED, started);
    var unused = started.onExit().thenAccept(this::ended);
  }

  /** Stops it where it stands. */
  public synchronized void freeze() {
    settings.suspension().end();
    signal(Signal.STOP, Happening.PAUSED);
  }

  /** Stops it where it stands, and its steady clock does not count the time until it goes on. */
  public synchronized void suspend() {
    settings.suspension().begin();
    signal(Signal.STOP, Happening.PAUSED);
  }

  /** Lets it go on. */
  public synchronized void thaw() {
    signal(Signal.CONT, Happening.CONTINUED);
  }

  /** Asks it to end. */
  public synchronized void terminate() {
    isAskedToEnd = true;
    signal(Signal.TERM, Happening.STOP_ASKED);
  }

  /** Ends it at once. */
  public synchronized void kill() {
    isAskedToEnd = true;
    signal(Signal.KILL, Happening.KILLED);
  }

  /** Ends it at once, for good: no life follows. */
  public synchronized void retire() {
    isRetired = true;
    kill();
  }

  /** Whether a life runs. */
  public synchronized boolean isRunning() {
    return life != null && life.isAlive();
  }

  /** Process id of the present process; zero before the first one is started. */
  public synchronized long pid() {
    return life == null ? 0 : life.pid();
  }

  /** Waits until the life is over; false if that takes longer. */
  public boolean awaitEnd(long atMostMillis) throws InterruptedException {
    Process present;
    synchronized (this) {
      present = life;
    }
    return present == null || present.waitFor(atMostMillis, TimeUnit.MILLISECONDS);
  }

  private void signal(Signal signal, Happening happening) {
    if (isRunning()) {
      // Told first: what follows from it must not be seen before it.
      tell(happening, life);
      signal.send(life.pid());
    }
  }

  private synchronized void ended(Process over) {
    boolean isAsked = isAskedToEnd || !over.equals(life);
    tell(isAsked ? Happening.ENDED : Happening.ENDED_UNASKED, over);
  }

  private void tell(Happening happening, Process process) {
    observer.accept(
        new ProcessEvent(nowMillis.getAsLong(), settings.node(), happening, process.pid()));
  }
}
