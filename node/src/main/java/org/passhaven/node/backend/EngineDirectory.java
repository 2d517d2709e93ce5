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
 * Tracks load, version and health of the engines that this node uses. Requests reports only from
 * engines in use and from a limited number per round, least recently asked first, so that the cost
 * does not grow with the number of engines. Used on the node's thread.
 */
public final class EngineDirectory {
  private static final long REPORT_TIMEOUT_MILLIS = 2_000;
  private final NodeContext context;
  private final MachineWatcher machines;
  private final Map<ServerId, EngineState> engines = new HashMap<>();
  private final Map<EngineUse, Supplier<Boolean>> uses = new LinkedHashMap<>();
  private final Map<EngineUse, Selection> selections = new HashMap<>();

  /** Creates a directory of the engines in the machine list. */
  public EngineDirectory(NodeContext context, MachineWatcher machines) {
    this.context = Objects.requireNonNull(context, "context");
    this.machines = Objects.requireNonNull(machines, "machines");
    machines.addListener(ignored -> selections.clear());
  }

  /** Starts requesting reports periodically. */
  public void start() {
    context
        .timers()
        .every(context.settings().loadReportInterval().toMillis(), this::requestReports);
  }

  /** Registers a use of an engine group, which ends once {@code inUse} returns false. */
  public void registerUse(EngineUse use, Supplier<Boolean> inUse) {
    uses.put(use, inUse);
  }

  /** Returns the engines of a use that have sent a report. */
  public List<EngineView> views(EngineUse use) {
    return views(selectionFor(use).all());
  }

  /**
   * Returns the engines of the use's own partition that have sent a report; a shard's owner orders
   * these to load new versions.
   */
  public List<EngineView> ownEngines(EngineUse use) {
    return views(selectionFor(use).ownPart());
  }

  private List<EngineView> views(List<Machine> selected) {
    long now = context.timers().nowMillis();
    List<EngineView> views = new ArrayList<>();
    for (Machine machine : selected) {
      EngineState state = engines.get(new ServerId(machine.id()));
      if (state != null && state.report != null) {
        views.add(view(machine, state, now));
      }
    }
    return views;
  }

  /** Returns whether the machine list is recent enough to place new work. */
  public boolean isCurrent() {
    return machines.isCurrent();
  }

  /** Returns whether an engine has answered one of its last requests for a report. */
  public boolean isAnswering(ServerId engine) {
    return stateOf(engine).missedReports < EngineState.MAX_MISSED_REPORTS;
  }

  /** Records that a generation was sent to an engine. */
  public void onGenerationStarted(ServerId engine) {
    stateOf(engine).outstanding++;
  }

  /**
   * Records the end of a generation; {@code failed} if the engine or the connection to it failed.
   */
  public void onGenerationEnded(ServerId engine, boolean failed) {
    EngineState state = stateOf(engine);
    state.outstanding--;
    if (failed) {
      state.health.onFailure(context.timers().nowMillis());
    } else {
      state.health.onSuccess(context.timers().nowMillis());
    }
  }

  /** Records the version that an engine reported in a response or with tokens. */
  public void onVersionObserved(ServerId engine, long incarnation, long version) {
    EngineState state = stateOf(engine);
    if (state.report != null
        && state.report.incarnation() == incarnation
        && state.report.version() < version) {
      Report previous = state.report;
      state.report =
          new Report(
              incarnation,
              previous.model(),
              version,
              previous.orderEpoch(),
              previous.running(),
              previous.queued(),
              previous.capacity(),
              previous.leaving());
    }
  }

  private void requestReports() {
    uses.values().removeIf(inUse -> !inUse.get());
    Set<Machine> used = new LinkedHashSet<>();
    uses.keySet().forEach(use -> used.addAll(selectionFor(use).all()));
    used.stream()
        .filter(machine -> !stateOf(new ServerId(machine.id())).isReportPending)
        .sorted(
            Comparator.comparingLong(
                    (Machine machine) -> stateOf(new ServerId(machine.id())).lastRequestMillis)
                .thenComparing(Machine::id))
        .limit(context.settings().maxReportsPerInterval())
        .forEach(this::requestReport);
  }

  private void requestReport(Machine machine) {
    EngineState state = stateOf(new ServerId(machine.id()));
    state.isReportPending = true;
    state.lastRequestMillis = context.timers().nowMillis();
    context
        .timers()
        .withTimeout(
            context.platform().engines().report(machine.address()), REPORT_TIMEOUT_MILLIS, "report")
        .subscribe()
        .with(state::onReport, failure -> state.onReportFailed());
  }

  private Selection selectionFor(EngineUse use) {
    return selections.computeIfAbsent(use, this::selectEngines);
  }

  private Selection selectEngines(EngineUse use) {
    List<Machine> group = machines.machinesOf(MachineList.Kind.ENGINE, use.group());
    Map<String, Machine> byName = new LinkedHashMap<>();
    group.forEach(machine -> byName.put(machine.id(), machine));
    List<Member> members =
        group.stream().map(machine -> new Member(machine.id(), machine.zone())).toList();
    Set<Member> own =
        new LinkedHashSet<>(
            Partition.membersOf(use.partitionIndex(), use.partitionCount(), members));
    List<Machine> ownPart = own.stream().map(member -> byName.get(member.name())).toList();
    for (Member other : Rendezvous.rank(use.user(), members, use.minEngines())) {
      if (own.size() < use.minEngines()) {
        own.add(other);
      }
    }
    return new Selection(own.stream().map(member -> byName.get(member.name())).toList(), ownPart);
  }

  private static EngineView view(Machine machine, EngineState state, long now) {
    Report report = state.report;
    int othersLoad = Math.max(0, report.load() - state.outstandingAtReport);
    boolean usable =
        machine.state() == MachineList.State.LIVE
            && !report.leaving()
            && state.missedReports < EngineState.MAX_MISSED_REPORTS
            && state.health.isUsable(now);
    int capacity = (int) Math.ceil(report.capacity() * state.health.loadShare(now));
    return new EngineView(
        new ServerId(machine.id()),
        machine.address(),
        machine.zone(),
        report.incarnation(),
        report.version(),
        Math.max(1, capacity),
        othersLoad + state.outstanding,
        usable);
  }

  private EngineState stateOf(ServerId engine) {
    return engines.computeIfAbsent(engine, ignored -> new EngineState());
  }

  private record Selection(List<Machine> all, List<Machine> ownPart) {}

  private static final class EngineState {
    static final int MAX_MISSED_REPORTS = 2;
    final BackEndHealth health = new BackEndHealth();
    Report report;
    int outstanding;
    int outstandingAtReport;
    int missedReports;
    boolean isReportPending;
    long lastRequestMillis = Long.MIN_VALUE;

    void onReport(Report latest) {
      isReportPending = false;
      missedReports = 0;
      report = latest;
      outstandingAtReport = outstanding;
    }

    void onReportFailed() {
      isReportPending = false;
      missedReports++;
    }
  }
}
