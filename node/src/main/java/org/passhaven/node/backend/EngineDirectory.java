package org.passhaven.node.backend;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.passhaven.core.placement.Member;
import org.passhaven.core.placement.Partition;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.routing.BackEndHealth;
import org.passhaven.core.routing.EngineView;
import org.passhaven.node.NodeContext;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService.Report;
import org.passhaven.spi.MachineList;
import org.passhaven.spi.MachineList.Machine;

/**
 * What this node knows of the engines that it uses. Only engines in use are asked for reports, and
 * only so many a round, those asked longest ago first: the cost of a node does not grow with the
 * fleet.
 */
public final class EngineDirectory {
  private static final long REPORT_LIMIT_MILLIS = 2_000;
  private final NodeContext context;
  private final MachineWatcher machines;
  private final Map<ServerId, Known> engines = new HashMap<>();
  private final Map<EngineUse, Supplier<Boolean>> uses = new LinkedHashMap<>();
  private final Map<EngineUse, Chosen> chosen = new HashMap<>();

  /** Creates a directory over the machine list. */
  public EngineDirectory(NodeContext context, MachineWatcher machines) {
    this.context = Objects.requireNonNull(context, "context");
    this.machines = Objects.requireNonNull(machines, "machines");
    machines.addListener(ignored -> chosen.clear());
  }

  /** Begins to ask for reports. */
  public void start() {
    context.timers().every(context.settings().loadReportInterval().toMillis(), this::askRound);
  }

  /** Declares a use of a group that lasts while {@code inUse} says so. */
  public void registerUse(EngineUse use, Supplier<Boolean> inUse) {
    uses.put(use, inUse);
  }

  /** Engines of a use, those without a report left out. */
  public List<EngineView> views(EngineUse use) {
    return views(chosenFor(use).all());
  }

  /** Engines of a use's own part: those that the user orders to new versions. */
  public List<EngineView> ownEngines(EngineUse use) {
    return views(chosenFor(use).ownPart());
  }

  private List<EngineView> views(List<Machine> of) {
    long now = context.timers().nowMillis();
    List<EngineView> views = new ArrayList<>();
    for (Machine machine : of) {
      Known known = engines.get(new ServerId(machine.id()));
      if (known != null && known.report != null) {
        views.add(view(machine, known, now));
      }
    }
    return views;
  }

  /** Whether the machine list is fresh enough to send new work by. */
  public boolean isCurrent() {
    return machines.isCurrent();
  }

  /** Whether an engine has answered its last requests for a report. */
  public boolean isAnswering(ServerId engine) {
    return known(engine).missedReports < Known.MOST_MISSED;
  }

  /** A generation went to an engine. */
  public void onGenerationStarted(ServerId engine) {
    known(engine).outstanding++;
  }

  /** A generation left an engine; {@code failed} if the engine or the way to it was at fault. */
  public void onGenerationEnded(ServerId engine, boolean failed) {
    Known known = known(engine);
    known.outstanding--;
    if (failed) {
      known.health.onFailure(context.timers().nowMillis());
    } else {
      known.health.onSuccess(context.timers().nowMillis());
    }
  }

  /** An engine was seen to serve a version, in an answer or in tokens. */
  public void onVersionObserved(ServerId engine, long incarnation, long version) {
    Known known = known(engine);
    if (known.report != null
        && known.report.incarnation() == incarnation
        && known.report.version() < version) {
      Report old = known.report;
      known.report =
          new Report(
              incarnation,
              old.model(),
              version,
              old.orderEpoch(),
              old.running(),
              old.queued(),
              old.capacity(),
              old.leaving());
    }
  }

  private void askRound() {
    uses.values().removeIf(inUse -> !inUse.get());
    Set<Machine> used = new LinkedHashSet<>();
    uses.keySet().forEach(use -> used.addAll(chosenFor(use).all()));
    used.stream()
        .filter(machine -> !known(new ServerId(machine.id())).asking)
        .sorted(
            Comparator.comparingLong(
                    (Machine machine) -> known(new ServerId(machine.id())).askedAtMillis)
                .thenComparing(Machine::id))
        .limit(context.settings().maxReportsPerInterval())
        .forEach(this::ask);
  }

  private void ask(Machine machine) {
    Known known = known(new ServerId(machine.id()));
    known.asking = true;
    known.askedAtMillis = context.timers().nowMillis();
    context
        .timers()
        .withTimeout(
            context.platform().engines().report(machine.address()), REPORT_LIMIT_MILLIS, "report")
        .subscribe()
        .with(known::onReport, failure -> known.onReportFailed());
  }

  private Chosen chosenFor(EngineUse use) {
    return chosen.computeIfAbsent(use, this::choose);
  }

  private Chosen choose(EngineUse use) {
    List<Machine> group = machines.machinesOf(MachineList.Kind.ENGINE, use.group());
    Map<String, Machine> byName = new LinkedHashMap<>();
    group.forEach(machine -> byName.put(machine.id(), machine));
    List<Member> members =
        group.stream().map(machine -> new Member(machine.id(), machine.zone())).toList();
    Set<Member> own =
        new LinkedHashSet<>(
            Partition.membersOf(use.partitionIndex(), use.partitionCount(), members));
    List<Machine> ownPart = own.stream().map(member -> byName.get(member.name())).toList();
    for (Member further : Rendezvous.rank(use.user(), members, use.minEngines())) {
      if (own.size() < use.minEngines()) {
        own.add(further);
      }
    }
    return new Chosen(own.stream().map(member -> byName.get(member.name())).toList(), ownPart);
  }

  private static EngineView view(Machine machine, Known known, long now) {
    Report report = known.report;
    int others = Math.max(0, report.load() - known.outstandingAtReport);
    boolean usable =
        machine.state() == MachineList.State.LIVE
            && !report.leaving()
            && known.missedReports < Known.MOST_MISSED
            && known.health.isUsable(now);
    int capacity = (int) Math.ceil(report.capacity() * known.health.loadShare(now));
    return new EngineView(
        new ServerId(machine.id()),
        machine.address(),
        machine.zone(),
        report.incarnation(),
        report.version(),
        Math.max(1, capacity),
        others + known.outstanding,
        usable);
  }

  private Known known(ServerId engine) {
    return engines.computeIfAbsent(engine, ignored -> new Known());
  }

  private record Chosen(List<Machine> all, List<Machine> ownPart) {}

  private static final class Known {
    static final int MOST_MISSED = 2;
    final BackEndHealth health = new BackEndHealth();
    Report report;
    int outstanding;
    int outstandingAtReport;
    int missedReports;
    boolean asking;
    long askedAtMillis = Long.MIN_VALUE;

    void onReport(Report newest) {
      asking = false;
      missedReports = 0;
      report = newest;
      outstandingAtReport = outstanding;
    }

    void onReportFailed() {
      asking = false;
      missedReports++;
    }
  }
}
