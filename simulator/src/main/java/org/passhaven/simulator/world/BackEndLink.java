package org.passhaven.simulator.world;

import java.util.Objects;
import org.passhaven.emulator.check.Checker;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;

/**
 * A back end's end of the network: who reaches it, how long a message takes, and work that comes
 * too late.
 */
final class BackEndLink {
  private static final long LEAVE_LIMIT_MILLIS = 5_000;
  private final VirtualTime time;
  private final SimulatedNetwork network;
  private final SimulatedProcess process;
  private final Checker checker;
  private long leavingSinceMillis = Long.MAX_VALUE;

  BackEndLink(
      VirtualTime time, SimulatedNetwork network, SimulatedProcess process, Checker checker) {
    this.time = Objects.requireNonNull(time, "time");
    this.network = Objects.requireNonNull(network, "network");
    this.process = Objects.requireNonNull(process, "process");
    this.checker = Objects.requireNonNull(checker, "checker");
  }

  /** From now on new work counts as late after a while. */
  void setLeaving() {
    leavingSinceMillis = time.nowMillis();
  }

  /**
   * New work was sent. Judged when it is sent, since a back end that hangs may take it in much
   * later; and only if the sender could know: one that is cut off from the platform can't.
   */
  void onWorkSent(SimulatedProcess caller) {
    boolean late = time.nowMillis() - leavingSinceMillis > LEAVE_LIMIT_MILLIS;
    long knowsAfterMicros = LEAVE_LIMIT_MILLIS * VirtualTime.MICROS_PER_MILLI;
    if (late && network.hasReachedPlatformFor(caller.zone(), knowsAfterMicros)) {
      checker.onWorkAfterLeave();
    }
  }

  /** Whether messages get through between this back end and a process. */
  boolean isOpen(SimulatedProcess caller) {
    return network.isOpen(caller.zone(), process.zone());
  }

  /** Time of one message on the way, in microseconds. */
  long oneWay(SimulatedProcess caller) {
    return network.latencyMicros(caller.zone(), process.zone());
  }
}
