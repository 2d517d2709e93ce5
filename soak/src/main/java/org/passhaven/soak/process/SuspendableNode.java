package org.passhaven.soak.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.passhaven.platform.PlatformMain;

/** The node's program with a steady clock that does not count suspensions. */
public final class SuspendableNode {
  private SuspendableNode() {}

  /** Runs the node. */
  public static void main(String[] arguments) throws IOException {
    Path file = Path.of(System.getProperty(Suspension.PROPERTY));
    PlatformMain.run(arguments, new SteadyClock(System::nanoTime, () -> Files.exists(file)));
  }

  /** A steady clock that leaves out the gaps in which its process was suspended. */
  static final class SteadyClock implements LongSupplier {
    /** A node reads its clock several times in a tenth of a second. */
    static final long GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Asked on a gap only. */
    interface IsSuspended {
      /** Whether the gap was a suspension. */
      boolean get();
    }

    private final LongSupplier nanos;
    private final IsSuspended isSuspended;
    private long lastNanos;
    private long leftOutNanos;

    SteadyClock(LongSupplier nanos, IsSuspended isSuspended) {
      this.nanos = nanos;
      this.isSuspended = isSuspended;
      this.lastNanos = nanos.getAsLong();
    }

    @Override
    public synchronized long getAsLong() {
      long now = nanos.getAsLong();
      if (now - lastNanos > GAP_NANOS && isSuspended.get()) {
        leftOutNanos += now - lastNanos;
      }
      lastNanos = now;
      return now - leftOutNanos;
    }
  }
}
