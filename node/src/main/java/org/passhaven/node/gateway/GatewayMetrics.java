package org.passhaven.node.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.passhaven.core.admission.AdmissionVerdict.Reason;
import org.passhaven.core.admission.ServiceAdmission;
import org.passhaven.core.job.JobScheduler;
import org.passhaven.spi.BackEndException;

/** Counters and latency histograms of a gateway node, named as docs/OPERATIONS.md lists them. */
public final class GatewayMetrics {
  private static final String REJECTED = "passhaven.gateway.requests.rejected";
  private static final String MOVED = "passhaven.gateway.generations.moved";
  private static final double MILLIS_A_SECOND = 1_000;
  private static final Duration[] LATENCY_BOUNDS = {
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofSeconds(2),
    Duration.ofSeconds(5)
  };

  /** Requests answered by a server. */
  public final Counter requestsAnswered;

  /** Requests refused as not run. */
  public final Counter requestsRefused;

  /** Requests whose outcome is unknown. */
  public final Counter requestsUnknown;

  /** Attempts at servers that came to nothing. */
  public final Counter attemptsFailed;

  /** Attempts for which all servers were candidates, since none of this node's subset was good. */
  public final Counter subsetsWidened;

  /** Generations begun or continued. */
  public final Counter generationsBegun;

  /** Generations that failed at a server. */
  public final Counter generationsFailed;

  /** Generations that a server refused since it was full or loading weights. */
  public final Counter generationsRefused;

  /** Generations that this node stopped. */
  public final Counter generationsStopped;

  /** Generations moved from a server that is slow. */
  public final Counter movesFromSlowServers;

  /** Generations moved since they had stalled. */
  public final Counter movesOfStalled;

  /** Results read back from the log. */
  public final Counter resultsListed;

  /** Appends of results that were repeated. */
  public final Counter appendsRepeated;

  /** Version orders sent. */
  public final Counter ordersSent;

  /** Servers that ended under requests of this node, counted for each such request. */
  public final Counter serversEndedUnderRequests;

  /** Requests that were not run because servers had ended under them. */
  public final Counter requestsHeldBack;

  /** Times that this node came to hold the lease of the duties, or lost it. */
  public final Counter leaseChanges;

  /** Losses of the whole fleet that this node detected at its start. */
  public final Counter fleetLosses;

  /** Windows of usage that this node reported. */
  public final Counter windowsReported;

  /** Reports of usage that failed or were not answered. */
  public final Counter windowReportsFailed;

  /** Documents of the platform's store that can't be read: entries of servers and others. */
  public final Counter documentsUnreadable;

  /** Requests not let in that show no key. */
  public final Counter requestsWithoutKey;

  /** Requests not let in whose key no tenant has. */
  public final Counter requestsWithUnknownKey;

  /** Requests without a route. */
  public final Counter requestsWithoutRoute;

  /** Requests sent elsewhere, since the configuration that doesn't let them in may be old. */
  public final Counter requestsUnsure;

  /** Requests that waited at this node for a place at a service. */
  public final Counter requestsWaited;

  private final MeterRegistry registry;
  private final Timer requestLatency;

  /** Creates the meters in {@code registry}. */
  public GatewayMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry");
    requestsAnswered = registry.counter("passhaven.gateway.requests", "outcome", "answered");
    requestsRefused = registry.counter("passhaven.gateway.requests", "outcome", "refused-not-run");
    requestsUnknown = registry.counter("passhaven.gateway.requests", "outcome", "outcome-unknown");
    attemptsFailed = registry.counter("passhaven.gateway.attempts.failed");
    subsetsWidened = registry.counter("passhaven.gateway.subsets.widened");
    generationsBegun = registry.counter("passhaven.gateway.generations.begun");
    generationsFailed = registry.counter("passhaven.gateway.generations.failed");
    generationsRefused = registry.counter("passhaven.gateway.generations.refused");
    movesFromSlowServers = registry.counter(MOVED, "reason", "slow-server");
    movesOfStalled = registry.counter(MOVED, "reason", "stalled");
    generationsStopped = registry.counter("passhaven.gateway.generations.stopped");
    resultsListed = registry.counter("passhaven.gateway.results.listed");
    appendsRepeated = registry.counter("passhaven.gateway.appends.repeated");
    serversEndedUnderRequests = registry.counter("passhaven.gateway.servers.ended.under.requests");
    requestsHeldBack = registry.counter("passhaven.gateway.requests.held.back");
    documentsUnreadable = registry.counter("passhaven.gateway.documents.unreadable");
    requestsWithoutKey = registry.counter(REJECTED, "reason", "no-key");
    requestsWithUnknownKey = registry.counter(REJECTED, "reason", "unknown-key");
    requestsWithoutRoute = registry.counter(REJECTED, "reason", "no-route");
    requestsUnsure = registry.counter(REJECTED, "reason", "unsure");
    fleetLosses = registry.counter("passhaven.gateway.fleet.losses");
    leaseChanges = registry.counter("passhaven.gateway.lease.changes");
    windowsReported = registry.counter("passhaven.gateway.usage.reports", "outcome", "done");
    windowReportsFailed = registry.counter("passhaven.gateway.usage.reports", "outcome", "failed");
    ordersSent = registry.counter("passhaven.gateway.orders.sent");
    requestsWaited = registry.counter("passhaven.gateway.admission.waited");
    requestLatency =
        Timer.builder("passhaven.gateway.request.latency")
            .serviceLevelObjectives(LATENCY_BOUNDS)
            .register(registry);
  }

  /** Shows how many partitions of jobs this node has not read to their ends since its start. */
  public void showPartitionsBehind(JobLog log) {
    registry.gauge("passhaven.gateway.partitions.behind", log, read -> read.behind().size());
  }

  /** Shows the age of the configuration in force; no number while none is known. */
  public void showConfigurationAge(Directory directory) {
    registry.gauge(
        "passhaven.gateway.configuration.age.seconds",
        directory,
        known -> {
          OptionalLong millis = known.configurationAgeMillis();
          return millis.isPresent() ? millis.getAsLong() / MILLIS_A_SECOND : Double.NaN;
        });
  }

  /**
   * Registers gauges of a service's waiting requests and of its concurrency limit.
   *
   * @param state what {@code load} reads; the gauges last as long as it is referenced
   */
  <T> void showAdmission(String service, T state, Function<T, ServiceAdmission.Load> load) {
    Tags tags = Tags.of("service", service);
    registry.gauge(
        "passhaven.gateway.admission.waiting", tags, state, read -> load.apply(read).waiting());
    registry.gauge(
        "passhaven.gateway.admission.limit", tags, state, read -> load.apply(read).limit());
  }

  /** A request was rejected before it was sent. */
  void onRejected(Reason reason) {
    String tag = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    registry.counter("passhaven.gateway.admission.rejected", "reason", tag).increment();
  }

  /** This node stopped a generation. */
  public void onGenerationStopped(String why) {
    generationsStopped.increment();
    if (why.equals(JobScheduler.SLOW_SERVER)) {
      movesFromSlowServers.increment();
    } else if (why.equals(JobScheduler.STALLED)) {
      movesOfStalled.increment();
    }
  }

  /** A generation failed at a server. */
  public void onGenerationFailed(BackEndException.Kind kind) {
    generationsFailed.increment();
    if (kind == BackEndException.Kind.REFUSED) {
      generationsRefused.increment();
    }
  }

  /** A request has ended, whatever its outcome. */
  public void onRequest(ForwardOutcome outcome, long tookMillis) {
    requestLatency.record(tookMillis, TimeUnit.MILLISECONDS);
    if (outcome instanceof ForwardOutcome.Answered) {
      requestsAnswered.increment();
    } else if (outcome instanceof ForwardOutcome.NotRun) {
      requestsRefused.increment();
    } else {
      requestsUnknown.increment();
    }
  }
}
