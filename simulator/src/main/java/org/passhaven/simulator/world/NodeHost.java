package org.passhaven.simulator.world;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Objects;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.node.Node;
import org.passhaven.node.NodeContext;
import org.passhaven.node.NodeMetrics;
import org.passhaven.node.NodeSettings;
import org.passhaven.node.stream.RecordSequence;
import org.passhaven.simulator.network.TrafficMeter;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.spi.Platform;

/** A simulated machine that runs a node; each start is a new node with nothing in memory. */
public final class NodeHost {
  private final NodeSettings settings;
  private final SimulatedProcess process;
  private final TrafficMeter meter;
  private final Function<NodeHost, Platform> platform;
  private final UniformRandomProvider random;
  private Node node;

  /** Creates a host; {@code platform} gives each start its way to everything outside. */
  public NodeHost(
      NodeSettings settings,
      SimulatedProcess process,
      TrafficMeter meter,
      Function<NodeHost, Platform> platform,
      UniformRandomProvider random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.process = Objects.requireNonNull(process, "process");
    this.meter = Objects.requireNonNull(meter, "meter");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.random = Objects.requireNonNull(random, "random");
  }

  /** The node that runs now; null if none does. */
  public Node node() {
    return node;
  }

  /** The process. */
  public SimulatedProcess process() {
    return process;
  }

  /** Traffic over all starts. */
  public TrafficMeter meter() {
    return meter;
  }

  /** Starts a node. */
  public void start() {
    long generation = process.start();
    node =
        new Node(
            new NodeContext(
                settings,
                generation,
                platform.apply(this),
                process.timers(),
                random::nextInt,
                new NodeMetrics(new SimpleMeterRegistry()),
                new RecordSequence()));
    process.execute(generation, node::start);
  }

  /** Ends the node at once. */
  public void kill() {
    process.kill();
    node = null;
  }

  /**
   * Planned stop, then the end of the process; {@code cut} hears how many requests were still in
   * progress.
   */
  public void stop(long limitMillis, java.util.function.IntConsumer cut) {
    if (node == null) {
      return;
    }
    Node stopping = node;
    long generation = process.generation();
    process.execute(
        generation,
        () ->
            stopping
                .stop(limitMillis)
                .subscribe()
                .with(
                    ignored -> {
                      if (process.generation() == generation && process.isAlive()) {
                        cut.accept(stopping.requests().inProgress());
                        kill();
                      }
                    }));
  }
}
