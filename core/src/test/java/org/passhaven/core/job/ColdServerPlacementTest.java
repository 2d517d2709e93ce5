package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.coldstart.ColdStartShares;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.service.ColdStart;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.member.MemberBeat;

/** Guards against more generations at a cold server than it can take, and against none. */
class ColdServerPlacementTest {
  private static final long KNOWN_AT_MILLIS = 2_000;
  private static final long INTERVAL_MILLIS = 125;
  private static final ServerEntry COLD = server("cold", 20_000);
  private static final ServerEntry WARM = server("warm", 0);
  private final ColdStartShares shares = new ColdStartShares("n");
  private final ColdStartLimiter limiter = new ColdStartLimiter(shares, bound -> 0);
  private final JobScheduler scheduler =
      new JobScheduler("n", Topology.ofZone("z"), (server, restriction) -> true, limiter);

  private static ServerEntry server(String name, long coldMillis) {
    return new ServerEntry(
        ServerIncarnation.of(name), "llm", name + ":1", "z", 2, true, Map.of("m", 1L), coldMillis);
  }

  @BeforeEach
  void knowSharesOfTheOnlyNode() {
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            List.of(new ServiceShare("llm", 1)),
            Route.Kind.JOBS,
            0,
            0,
            3,
            false,
            false,
            0,
            0,
            false);
    ServiceSpec spec =
        new ServiceSpec("llm", Optional.of(new ColdStart(5_000, 10)), Optional.empty());
    limiter.configure(
        new RouteTable(
            1, List.of(route), RequestLimits.DEFAULT, TenantTable.NONE, Map.of("llm", spec)));
    limiter.trustSharesWhile(() -> true);
    limiter.onEntry(COLD, 0);
    MemberBeat own = new MemberBeat("n", "n:1", "z", 1, true, 0, 500, 0, 0, List.of(), 1);
    for (long now = 0; now <= KNOWN_AT_MILLIS; now += 500) {
      shares.onHeartbeats(List.of(own), now);
    }
  }

  private void startJob(String id, long step, int items) {
    List<JobItem> all = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      all.add(JobTableTest.item(id + i, "g" + id + i));
    }
    Job job = new Job(JobTableTest.submission(id, step, 0, all.toArray(JobItem[]::new)), 0);
    scheduler.startOrUpdate(job, new JobPolicy("llm", 3, false, 1, 0), new TextTable("m"));
  }

  /** Returns the item and server of each generation that starts, and counts it as sent. */
  private List<String> starts(List<ServerEntry> servers, long nowMillis) {
    return scheduler.decide(servers, Map.of(), nowMillis).stream()
        .filter(JobAction.Start.class::isInstance)
        .map(JobAction.Start.class::cast)
        .peek(start -> limiter.onSent(start.server(), nowMillis))
        .map(start -> start.item().id() + "@" + start.server().incarnation().id())
        .toList();
  }

  @Test
  void itemsWaitInPlaceForTheTurnsOfAColdServer() {
    startJob("j", 0, 2);
    assertThat(starts(List.of(COLD), KNOWN_AT_MILLIS), contains("j0@cold"));
    assertThat(starts(List.of(COLD), KNOWN_AT_MILLIS + INTERVAL_MILLIS - 1), empty());
    assertThat(starts(List.of(COLD), KNOWN_AT_MILLIS + INTERVAL_MILLIS), contains("j1@cold"));
  }

  @Test
  void aColdServerIsUsedBesideWarmOnes() {
    startJob("j", 0, 4);
    List<String> started = starts(List.of(COLD, WARM), KNOWN_AT_MILLIS);
    assertThat(started, hasSize(3));
    assertThat(
        started.stream().map(start -> start.substring(start.indexOf('@'))).toList(),
        containsInAnyOrder("@cold", "@warm", "@warm"));
  }

  @Test
  void theTurnGoesToTheJobThatIsDueFirst() {
    startJob("late", 2, 1);
    startJob("soon", 0, 1);
    assertThat(starts(List.of(COLD), KNOWN_AT_MILLIS), contains("soon0@cold"));
  }

  @Test
  void aRunningTextDoesNotMoveToAColdServer() {
    ServerView view = new ServerView();
    LengthEstimator lengths = new LengthEstimator();
    lengths.onCompleted(100, 10);
    for (int i = 0; i < 20; i++) {
      view.intervalTracker().onInterval(COLD.incarnation(), 40, i);
      view.intervalTracker().onInterval(WARM.incarnation(), 50, i);
    }
    GenerationPicker picker = new GenerationPicker("n", "z", view, lengths, limiter);
    picker.beginRound(new ReadyServers(List.of(COLD, WARM), Map.of()), KNOWN_AT_MILLIS);
    JobItem item = new JobItem("x", "/p/x", List.of(), new byte[] {1}, "g", 1_000, null);
    Job job = new Job(JobTableTest.submission("j", 0, 0, item), 0);
    ItemExecution execution =
        new JobExecution(job, new JobPolicy("llm", 3, false, 1, 0)).items.get("x");
    execution.server = WARM.incarnation();
    assertThat(picker.chooseFaster(execution, KNOWN_AT_MILLIS), equalTo(Optional.empty()));
    limiter.onEntry(server("cold", 0), KNOWN_AT_MILLIS);
    assertThat(picker.chooseFaster(execution, KNOWN_AT_MILLIS), equalTo(Optional.of(COLD)));
  }

  @Test
  void aNodeWithoutAShareUsesWarmServersOnly() {
    shares.clear();
    startJob("j", 0, 4);
    assertThat(starts(List.of(COLD, WARM), KNOWN_AT_MILLIS), hasSize(2));
  }
}
