package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.passhaven.platform.standin.history.ItemPlan;
import org.passhaven.platform.standin.history.OperatorObservation.VersionSent;
import org.passhaven.platform.standin.history.ServerObservation.RunBegun;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;
import org.passhaven.platform.standin.history.ServerObservation.ServerEnded;
import org.passhaven.platform.standin.history.ServerObservation.ServerStarted;
import org.passhaven.platform.standin.server.ServerSettings;

/**
 * {@link Promise#NO_ITEM_STARVED}: a step must not run out of time because one of its items, which
 * no server has finished or failed, is at no server for {@link #STARVED_MILLIS} of steady state. It
 * binds where others of the step had begun, less than half of the servers' slots were in use, and
 * no version was named then or shortly before. Steps that end in time count as checks that hold.
 */
final class ItemStarvationCheck {
  /** Time at no server after which an item counts as starved. */
  static final long STARVED_MILLIS = 5_000;

  private static final long VERSION_SETTLE_MILLIS = 6_000;

  /** A run that its sender ends, or whose time is up, so early doesn't count as one. */
  private static final long MIN_RUN_MILLIS = 1_000;

  /** Distance of the moments at which a gap without a server is examined. */
  private static final long SCAN_INTERVAL_MILLIS = 100;

  private static final int SLOTS = ServerSettings.engines().slots();

  private final Evidence evidence;
  private final Map<String, List<Span>> runsByItem = new HashMap<>();
  private final Map<String, Long> finishedMillisByItem = new HashMap<>();
  private final Map<String, String> serviceByItem = new HashMap<>();
  private final Map<String, NavigableMap<Long, Integer>> usedSlotsByService = new HashMap<>();
  private final Map<String, NavigableMap<Long, Integer>> serversByService = new HashMap<>();
  private final List<Long> namedMillis;

  /** Time from the begin of a run to its end. */
  private record Span(long fromMillis, long untilMillis) {}

  private ItemStarvationCheck(Evidence evidence) {
    this.evidence = evidence;
    this.namedMillis = evidence.all(VersionSent.class).map(VersionSent::atMillis).toList();
    countServers();
    readRuns();
  }

  static void judge(Evidence evidence, Tally tally) {
    ItemStarvationCheck check = new ItemStarvationCheck(evidence);
    for (JobRecord job : evidence.jobs().all()) {
      if (job.isAccepted()) {
        check.judge(job, tally);
      }
    }
  }

  private void countServers() {
    Map<String, String> serviceByInstance = new HashMap<>();
    evidence
        .all(ServerStarted.class)
        .forEach(
            started -> {
              serviceByInstance.put(started.instance(), started.service());
              add(serversByService, started.service(), started.atMillis(), 1);
            });
    evidence
        .all(ServerEnded.class)
        .filter(ended -> serviceByInstance.containsKey(ended.instance()))
        .forEach(
            ended ->
                add(
                    serversByService,
                    serviceByInstance.get(ended.instance()),
                    ended.atMillis(),
                    -1));
  }

  private void readRuns() {
    Map<String, RunBegun> open = new HashMap<>();
    for (var observation : evidence.observations()) {
      if (observation instanceof RunBegun begun) {
        open.put(begun.id() + "/" + begun.run(), begun);
        serviceByItem.put(begun.id(), begun.service());
        add(usedSlotsByService, begun.service(), begun.atMillis(), 1);
      } else if (observation instanceof RunEnded ended) {
        Optional.ofNullable(open.remove(ended.id() + "/" + ended.run()))
            .ifPresent(begun -> addRun(begun, ended));
      }
    }
    open.values()
        .forEach(begun -> runsOf(begun.id()).add(new Span(begun.atMillis(), Long.MAX_VALUE)));
  }

  private void addRun(RunBegun begun, RunEnded ended) {
    add(usedSlotsByService, begun.service(), ended.atMillis(), -1);
    boolean isFinished =
        ended.how() == RunEnd.WHOLE
            || ended.how() == RunEnd.FAILED
            || ended.how() == RunEnd.IMPOSSIBLE;
    if (isFinished) {
      finishedMillisByItem.merge(ended.id(), ended.atMillis(), Math::min);
    }
    boolean isLeft = ended.how() == RunEnd.LEFT || ended.how() == RunEnd.LATE;
    if (!isLeft || ended.atMillis() - begun.atMillis() >= MIN_RUN_MILLIS) {
      runsOf(begun.id()).add(new Span(begun.atMillis(), ended.atMillis()));
    }
  }

  private List<Span> runsOf(String item) {
    return runsByItem.computeIfAbsent(item, id -> new ArrayList<>());
  }

  /** Adds to a number that changes over time, given by its value from each change on. */
  private static void add(
      Map<String, NavigableMap<Long, Integer>> numbers, String name, long atMillis, int change) {
    NavigableMap<Long, Integer> number =
        numbers.computeIfAbsent(name, key -> new TreeMap<>(Map.of(Long.MIN_VALUE, 0)));
    number.putIfAbsent(atMillis, number.floorEntry(atMillis).getValue());
    number.tailMap(atMillis, true).replaceAll((millis, value) -> value + change);
  }

  private void judge(JobRecord job, Tally tally) {
    long timeUpMillis = job.firstSentMillis + job.plan().dueMillis();
    boolean isInTime = job.endAskedMillis < timeUpMillis;
    if (!isInTime && timeUpMillis > evidence.endMillis()) {
      return;
    }
    Optional<String> starved =
        isInTime
            ? Optional.empty()
            : job.plan().items().stream()
                .map(ItemPlan::id)
                .filter(item -> isStarved(job, item, timeUpMillis))
                .findFirst();
    tally.check(
        starved.isEmpty(),
        timeUpMillis,
        "",
        job.plan().id(),
        () ->
            "runs out of time while its item "
                + starved.get()
                + " is at no server for "
                + STARVED_MILLIS
                + " ms");
  }

  private boolean isStarved(JobRecord job, String item, long timeUpMillis) {
    if (finishedMillisByItem.getOrDefault(item, Long.MAX_VALUE) <= timeUpMillis) {
      return false;
    }
    for (long atMillis = job.acceptedMillis;
        atMillis + STARVED_MILLIS <= timeUpMillis;
        atMillis += SCAN_INTERVAL_MILLIS) {
      long fromMillis = atMillis;
      long untilMillis = atMillis + STARVED_MILLIS;
      boolean isAtServer =
          runsOf(item).stream()
              .anyMatch(run -> run.fromMillis() < untilMillis && run.untilMillis() > fromMillis);
      if (!isAtServer && isBound(job, item, fromMillis, untilMillis)) {
        return true;
      }
    }
    return false;
  }

  private boolean isBound(JobRecord job, String item, long fromMillis, long untilMillis) {
    boolean hasBegun =
        job.plan().items().stream()
            .anyMatch(
                other ->
                    !other.id().equals(item)
                        && runsOf(other.id()).stream()
                            .anyMatch(run -> run.fromMillis() < fromMillis));
    boolean isVersionNamed =
        namedMillis.stream()
            .anyMatch(named -> named >= fromMillis - VERSION_SETTLE_MILLIS && named <= untilMillis);
    return hasBegun
        && !isVersionNamed
        && hasRoom(serviceOf(job), fromMillis, untilMillis)
        && evidence.touch().areInTouch(evidence.nodes(), fromMillis, untilMillis);
  }

  private String serviceOf(JobRecord job) {
    return job.plan().items().stream()
        .map(item -> serviceByItem.get(item.id()))
        .filter(service -> service != null)
        .findFirst()
        .orElse("");
  }

  /** Whether servers were steady and less than half of their slots in use all the time. */
  private boolean hasRoom(String service, long fromMillis, long untilMillis) {
    NavigableMap<Long, Integer> servers = serversByService.get(service);
    NavigableMap<Long, Integer> used = usedSlotsByService.get(service);
    if (servers == null || used == null) {
      return false;
    }
    long steadyFromMillis = fromMillis - evidence.bounds().contactMillis();
    boolean isSteady = servers.subMap(steadyFromMillis, true, untilMillis, true).isEmpty();
    int slots = servers.floorEntry(fromMillis).getValue() * SLOTS;
    int usedAtFirst = used.floorEntry(fromMillis).getValue();
    int mostUsed =
        used.subMap(fromMillis, true, untilMillis, true).values().stream()
            .mapToInt(Integer::intValue)
            .reduce(usedAtFirst, Math::max);
    return isSteady && 2 * mostUsed < slots;
  }
}
