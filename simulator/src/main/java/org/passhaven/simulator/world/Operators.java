package org.passhaven.simulator.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.emulator.check.Checker;
import org.passhaven.node.configuration.ConfigurationAgent.ApplyResult;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.spi.Timers;

/**
 * Operators who apply configurations, at times two at once, and watch that each accepted revision
 * comes into force at every live node and never goes back.
 */
public final class Operators {
  private static final long WATCH_MILLIS = 100;
  private static final String CALLER_KEY = "caller/operators";
  private final List<NodeHost> nodes;
  private final Timers timers;
  private final Checker checker;
  private final UniformRandomProvider random;
  private final List<ConfigurationDocument> base;
  private final TreeMap<Long, Long> acceptedAtMillis = new TreeMap<>();
  private long nextLimit = 1;
  private long accepted;
  private long conflicts;

  /** Creates operators that apply variations of {@code base}. */
  public Operators(
      List<NodeHost> nodes,
      Timers timers,
      Checker checker,
      UniformRandomProvider random,
      List<ConfigurationDocument> base) {
    this.nodes = List.copyOf(nodes);
    this.timers = Objects.requireNonNull(timers, "timers");
    this.checker = Objects.requireNonNull(checker, "checker");
    this.random = Objects.requireNonNull(random, "random");
    this.base = List.copyOf(base);
  }

  /** Begins to watch. */
  public void start() {
    timers.every(WATCH_MILLIS, this::watch);
  }

  /** Applies the first configuration; tries until it is accepted. */
  public void applyBase() {
    NodeHost host = nodes.get(random.nextInt(nodes.size()));
    if (host.node() == null || accepted > 0) {
      retryBase();
      return;
    }
    apply(host, base);
    retryBase();
  }

  private void retryBase() {
    if (accepted == 0) {
      timers.after(WATCH_MILLIS * 2, this::applyBase);
    }
  }

  /** Applies a variation every {@code periodMillis}; some of the time two operators do at once. */
  public void applyEvery(long periodMillis) {
    timers.every(
        periodMillis,
        () -> {
          applyVariation();
          if (random.nextBoolean()) {
            applyVariation();
          }
        });
  }

  /** Two operators apply different configurations at the same time. */
  public void race() {
    applyVariation();
    applyVariation();
  }

  private void applyVariation() {
    NodeHost host = nodes.get(random.nextInt(nodes.size()));
    if (host.node() == null || !host.process().isAlive() || accepted == 0) {
      return;
    }
    List<ConfigurationDocument> documents = new ArrayList<>(base);
    documents.add(
        new ConfigurationDocument(
            CALLER_KEY, "{\"requestsPerSecond\":" + nextLimit++ + ",\"burst\":1}"));
    apply(host, documents);
  }

  private void apply(NodeHost host, List<ConfigurationDocument> documents) {
    host.process()
        .execute(
            host.process().generation(),
            () ->
                host.node()
                    .configuration()
                    .apply(documents, -1, "operator")
                    .subscribe()
                    .with(this::onResult));
  }

  private void onResult(ApplyResult result) {
    if (result instanceof ApplyResult.Accepted done) {
      accepted++;
      acceptedAtMillis.put(done.revision(), timers.nowMillis());
    } else if (result instanceof ApplyResult.Conflict) {
      conflicts++;
    }
  }

  private void watch() {
    long lowest = Long.MAX_VALUE;
    for (NodeHost host : nodes) {
      if (host.node() == null || host.process().isPaused() || !host.node().isReady()) {
        continue;
      }
      long revision = host.node().configuration().activeSnapshot().revision();
      checker.onRevision(host.process().name(), revision);
      lowest = Math.min(lowest, revision);
    }
    while (!acceptedAtMillis.isEmpty() && acceptedAtMillis.firstKey() <= lowest) {
      checker.onInForceEverywhere(
          timers.nowMillis() - acceptedAtMillis.pollFirstEntry().getValue());
    }
  }

  /** Applications accepted. */
  public long accepted() {
    return accepted;
  }

  /** Applications that lost a race. */
  public long conflicts() {
    return conflicts;
  }
}
