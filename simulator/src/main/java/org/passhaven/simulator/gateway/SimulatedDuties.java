package org.passhaven.simulator.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.passhaven.core.usage.UsageSettings;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.PlatformException;

/**
 * The platform's calls for duties of one holder in virtual time, and what it is owed there: one
 * holder at a time, rising fences, one content for a window, and the truth in time.
 */
final class SimulatedDuties {
  private static final long ONE_WAY_MICROS = 500;
  private static final long DUE_AFTER_MILLIS = 10_000;
  private static final String SUBJECT = "usage";

  /** How calls are answered. */
  enum Manner {
    SOUND,
    REFUSES,
    SILENT,
    /** Calls are carried out, and their answers are lost. */
    LOSES_ANSWERS
  }

  private final VirtualTime time;
  private final GatewayChecker checker;
  private final UsageSettings settings;
  private final Map<Long, Map<String, Set<String>>> begunByWindow = new HashMap<>();
  private final Map<Long, Map<String, Long>> reported = new HashMap<>();
  private final Map<Long, Long> reportedAtMillis = new HashMap<>();
  private Manner manner = Manner.SOUND;

  SimulatedDuties(VirtualTime time, GatewayChecker checker, UsageSettings settings) {
    this.time = time;
    this.checker = checker;
    this.settings = settings;
  }

  void setManner(Manner newManner) {
    manner = newManner;
  }

  /** A server began to run a request of a tenant. */
  void onBegun(String tenant, String request) {
    if (!tenant.isEmpty()) {
      begunByWindow
          .computeIfAbsent(settings.windowAt(time.nowMillis()), key -> new HashMap<>())
          .computeIfAbsent(tenant, key -> new HashSet<>())
          .add(request);
    }
  }

  /** Windows that were reported in time, of those whose reports are due by now. */
  int reportedInTime() {
    return (int) reportedAtMillis.entrySet().stream().filter(this::isInTime).count();
  }

  private boolean isInTime(Map.Entry<Long, Long> report) {
    long endMillis = (report.getKey() + 1) * settings.windowMillis();
    return report.getValue() <= endMillis + DUE_AFTER_MILLIS;
  }

  /** Windows whose report is off for a tenant by more than a share and one request. */
  int reportedFalsely(double share) {
    return (int)
        reported.entrySet().stream()
            .filter(report -> isOff(truthOf(report.getKey()), report.getValue(), share))
            .count();
  }

  private Map<String, Long> truthOf(long window) {
    Map<String, Long> truth = new HashMap<>();
    begunByWindow
        .getOrDefault(window, Map.of())
        .forEach((tenant, requests) -> truth.put(tenant, (long) requests.size()));
    return truth;
  }

  private static boolean isOff(Map<String, Long> truth, Map<String, Long> told, double share) {
    Set<String> tenants = new HashSet<>(truth.keySet());
    tenants.addAll(told.keySet());
    return tenants.stream()
        .anyMatch(
            tenant -> {
              long real = truth.getOrDefault(tenant, 0L);
              return Math.abs(real - told.getOrDefault(tenant, 0L)) > Math.max(1, real * share);
            });
  }

  /** The calls as one process makes them. */
  DutyService clientOf(SimulatedProcess process) {
    long generation = process.generation();
    return (usage, limitMillis) -> {
      Uni<Void> sent =
          Uni.createFrom()
              .emitter(
                  emitter ->
                      time.after(ONE_WAY_MICROS, () -> take(usage, process, generation, emitter)));
      return process.timers().withTimeout(sent, limitMillis, "usage");
    };
  }

  private void take(
      DutyService.Usage usage,
      SimulatedProcess process,
      long generation,
      UniEmitter<? super Void> emitter) {
    if (manner == Manner.SILENT) {
      return;
    }
    Runnable answer =
        manner == Manner.REFUSES
            ? () -> emitter.fail(new PlatformException(PlatformException.Kind.NOT_RUN, "busy"))
            : () -> emitter.complete(null);
    if (manner != Manner.REFUSES) {
      accept(usage, process.name());
    }
    if (manner != Manner.LOSES_ANSWERS) {
      time.after(ONE_WAY_MICROS, () -> process.execute(generation, answer));
    }
  }

  private void accept(DutyService.Usage usage, String machine) {
    if (!usage.owner().equals(machine)) {
      checker.broken("usage: " + machine + " calls itself " + usage.owner());
    }
    checker.onOrder(SUBJECT, machine, usage.fence(), time.nowMillis());
    Map<String, Long> before = reported.putIfAbsent(usage.window(), usage.counts());
    if (before != null && !before.equals(usage.counts())) {
      checker.broken("usage: window " + usage.window() + " was reported in two ways");
    }
    reportedAtMillis.putIfAbsent(usage.window(), time.nowMillis());
  }
}
