package org.passhaven.simulator.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.LongConsumer;
import org.passhaven.simulator.time.VirtualTime;

/**
 * An operator who changes the configuration again and again, and a check that each version is in
 * force in time at the nodes that were undisturbed.
 */
final class ConfigurationChanges {
  private static final long CHECK_MILLIS = 50;

  private record Acknowledged(long version, long atMillis) {}

  private final GatewayWorld world;
  private final VirtualTime time;
  private final long inForceMillis;
  private final LongConsumer write;
  private final Deque<Acknowledged> recent = new ArrayDeque<>();
  private long version = 1;
  private long dueVersion;
  private int checks;

  /**
   * Creates the operator.
   *
   * @param inForce time from the acknowledgement of a version to its being in force
   * @param write writes a version to the store, where it is acknowledged at once
   */
  ConfigurationChanges(GatewayWorld world, VirtualTime time, Duration inForce, LongConsumer write) {
    this.world = Objects.requireNonNull(world, "world");
    this.time = Objects.requireNonNull(time, "time");
    this.inForceMillis = inForce.toMillis();
    this.write = Objects.requireNonNull(write, "write");
  }

  /** Begins to change and to check. */
  void start(long everyMillis) {
    change(everyMillis);
    check();
  }

  /** How often a node was checked for a version that had to be in force. */
  int checks() {
    return checks;
  }

  private void after(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  /** While the store is troubled, nothing that is written there is acknowledged. */
  private void change(long everyMillis) {
    if (world.isStoreSoundFor(0)) {
      version++;
      write.accept(version);
      recent.add(new Acknowledged(version, time.nowMillis()));
    }
    after(everyMillis, () -> change(everyMillis));
  }

  private void check() {
    while (!recent.isEmpty() && time.nowMillis() - recent.peek().atMillis() > inForceMillis) {
      dueVersion = recent.poll().version();
    }
    world.hosts().stream().filter(world::isInTouch).forEach(this::check);
    after(CHECK_MILLIS, this::check);
  }

  private void check(GatewayHost host) {
    long inForce = host.gateway().routes().version();
    checks++;
    if (inForce < dueVersion) {
      world
          .checker()
          .broken(
              "configuration at "
                  + host.process().name()
                  + ": "
                  + inForce
                  + " at "
                  + time.nowMillis()
                  + " ms, "
                  + dueVersion
                  + " is due");
    }
  }
}
