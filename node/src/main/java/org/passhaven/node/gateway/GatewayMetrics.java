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
import org.passhaven.core.admission.AdmissionDecision.Reason;
import org.passhaven.core.admission.ServiceAdmission;
import org.passhaven.core.eligibility.Ineligibility;
import org.passhaven.core.job.JobScheduler;
import org.passhaven.spi.BackEndException;

/** Counters and latency histograms of a gateway node, named as docs/OPERATIONS.md lists them. */
public final class GatewayMetrics {
  private static final String REJECTED_METRIC = "passhaven.gateway.requests.rejected";
  private static final String MOVED_METRIC = "passhaven.gateway.generations.moved";
  private static final double MILLIS_PER_SECOND = 1_000;
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

  /** Requests refused without being run by a server. */
  public final Counter requestsRefused;

  /** Requests whose outcome is unknown. */
  public final Counter requestsUnknown;

  /** Answers handed on whose end was that of their connection. */
  public final Counter answersUntilClose;

  /** Log lines of answers that were left out for the limit of lines per second. */
  public final Counter answerLinesDropped;

  /** Attempts at servers that failed. */
  public final Counter attemptsFailed;

  /** Attempts that considered all servers, since none of this node's subset was usable. */
  public final Counter subsetsWidened;

  /** Attempts at servers of another region. */
  public final Counter attemptsInOtherRegion;

  /** Generations started or continued. */
  public final Counter generationsStarted;

  /** Generations that failed at a server. */
  public final Counter generationsFailed;

  /** Generations that a server refused because it was full or loading weights. */
  public final Counter generationsRefused;

  /** Generations that this node stopped. */
  public final Counter generationsStopped;

  /** Generations moved away from slow servers. */
  public final Counter movesFromSlowServers;

  /** Generations moved because they had stalled. */
  public final Counter movesOfStalledGenerations;

  /** Results read back from the log. */
  public final Counter resultsRecorded;

  /** Retried appends of results. */
  public final Counter appendsRetried;

  /** Orders to load a weight version that were sent to servers. */
  public final Counter ordersSent;

  /** Server crashes during requests of this node, counted once for each request. */
  public final Counter serverCrashesUnderRequests;

  /** Requests that were not run because servers had crashed while running them. */
  public final Counter requestsHeldBack;

  /** Times that this node acquired or lost the duty lease. */
  public final Counter leaseChanges;

  /** Losses of the whole fleet that this node detected at its start. */
  public final Counter fleetLosses;

  /** Usage windows that this node reported. */
  public final Counter usageWindowsReported;

  /** Usage reports that failed or were not answered. */
  public final Counter usageReportsFailed;

  /** Unreadable documents in the platform's store, such as server entries. */
  public final Counter documentsUnreadable;

  /** Requests rejected because they have no API key. */
  public final Counter requestsWithoutKey;

  /** Requests rejected because no tenant has their API key. */
  public final Counter requestsWithUnknownKey;

  /** Requests rejected because no route matches. */
  public final Counter requestsWithoutRoute;

  /** Requests redirected because the configuration that rejects them may be stale. */
  public final Counter requestsWithStaleConfiguration;

  /** Requests that admission control queued. */
  public final Counter requestsWaited;

  private final MeterRegistry registry;
  private final Timer requestLatency;

  /** Creates the meters in {@code registry}. */
  public GatewayMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry");
    requestsAnswered = registry.counter("passhaven.gateway.requests", "outcome", "answered");
    requestsRefused = registry.counter("passhaven.gateway.requests", "outcome", "refused-not-run");
    requestsUnknown = registry.counter("passhaven.gateway.requests", "outcome", "outcome-unknown");
    answersUntilClose = registry.counter("passhaven.gateway.answers.until.close");
    answerLinesDropped = registry.counter("passhaven.gateway.answers.unlogged");
    attemptsFailed = registry.counter("passhaven.gateway.attempts.failed");
    subsetsWidened = registry.counter("passhaven.gateway.subsets.widened");
    attemptsInOtherRegion = registry.counter("passhaven.gateway.attempts.in.other.region");
    generationsStarted = registry.counter("passhaven.gateway.generations.begun");
    generationsFailed = registry.counter("passhaven.gateway.generations.failed");
    generationsRefused = registry.counter("passhaven.gateway.generations.refused");
    movesFromSlowServers = registry.counter(MOVED_METRIC, "reason", "slow-server");
    movesOfStalledGenerations = registry.counter(MOVED_METRIC, "reason", "stalled");
    generationsStopped = registry.counter("passhaven.gateway.generations.stopped");
    resultsRecorded = registry.counter("passhaven.gateway.results.listed");
    appendsRetried = registry.counter("passhaven.gateway.appends.repeated");
    serverCrashesUnderRequests = registry.counter("passhaven.gateway.servers.ended.under.requests");
    requestsHeldBack = registry.counter("passhaven.gateway.requests.held.back");
    documentsUnreadable = registry.counter("passhaven.gateway.documents.unreadable");
    requestsWithoutKey = registry.counter(REJECTED_METRIC, "reason", "no-key");
    requestsWithUnknownKey = registry.counter(REJECTED_METRIC, "reason", "unknown-key");
    requestsWithoutRoute = registry.counter(REJECTED_METRIC, "reason", "no-route");
    requestsWithStaleConfiguration = registry.counter(REJECTED_METRIC, "reason", "unsure");
    fleetLosses = registry.counter("passhaven.gateway.fleet.losses");
    leaseChanges = registry.counter("passhaven.gateway.lease.changes");
    usageWindowsReported = registry.counter("passhaven.gateway.usage.reports", "outcome", "done");
    usageReportsFailed = registry.counter("passhaven.gateway.usage.reports", "outcome", "failed");
    ordersSent = registry.counter("passhaven.gateway.orders.sent");
    requestsWaited = registry.counter("passhaven.gateway.admission.waited");
    requestLatency =
        Timer.builder("passhaven.gateway.request.latency")
            .serviceLevelObjectives(LATENCY_BOUNDS)
            .register(registry);
  }

  /** Registers a gauge of the job partitions that this node has not yet read to their ends. */
  public void registerPartitionsBehind(JobLog log) {
    registry.gauge(
        "passhaven.gateway.partitions.behind", log, read -> read.laggingStreams().size());
  }

  /** Registers a gauge of the configuration's age; NaN while no configuration is known. */
  public void registerConfigurationAge(PlatformDirectory directory) {
    registry.gauge(
        "passhaven.gateway.configuration.age.seconds",
        directory,
        known -> {
          OptionalLong millis = known.configurationAgeMillis();
          return millis.isPresent() ? millis.getAsLong() / MILLIS_PER_SECOND : Double.NaN;
        });
  }

  /** Registers a gauge of the evacuated zones that this node knows of. */
  public void registerEvacuatedZones(PlatformDirectory directory) {
    registry.gauge(
        "passhaven.gateway.zones.evacuated", directory, PlatformDirectory::evacuatedZones);
  }

  /**
   * Registers gauges of a service's queued requests and of its concurrency limit.
   *
   * @param state the argument of {@code load}; the gauges hold only a weak reference to it
   */
  <T> void registerAdmission(String service, T state, Function<T, ServiceAdmission.Load> load) {
    Tags tags = Tags.of("service", service);
    registry.gauge(
        "passhaven.gateway.admission.waiting", tags, state, read -> load.apply(read).waiting());
    registry.gauge(
        "passhaven.gateway.admission.limit", tags, state, read -> load.apply(read).limit());
  }

  /** Counts a request that admission control rejected. */
  void onRejected(Reason reason) {
    String tag = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    registry.counter("passhaven.gateway.admission.rejected", "reason", tag).increment();
  }

  /** Counts a request that was not sent since its server was not eligible. */
  void onIneligible(Ineligibility reason) {
    String tag = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    registry.counter("passhaven.gateway.requests.ineligible", "reason", tag).increment();
  }

  /** Counts an order for servers that this node sent. */
  void onScaleOrder(String outcome) {
    registry.counter("passhaven.gateway.scaling.orders", "outcome", outcome).increment();
  }

  /** Counts a generation that this node stopped. */
  public void onGenerationStopped(String why) {
    generationsStopped.increment();
    if (why.equals(JobScheduler.SLOW_SERVER)) {
      movesFromSlowServers.increment();
    } else if (why.equals(JobScheduler.STALLED)) {
      movesOfStalledGenerations.increment();
    }
  }

  /** Counts a generation that failed at a server. */
  public void onGenerationFailed(BackEndException.Kind kind) {
    generationsFailed.increment();
    if (kind == BackEndException.Kind.REFUSED) {
      generationsRefused.increment();
    }
  }

  /** Counts a request that has ended, and records its latency. */
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
