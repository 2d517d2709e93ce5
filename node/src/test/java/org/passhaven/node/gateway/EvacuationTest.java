package org.passhaven.node.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.eligibility.ColdStartLimit;
import org.passhaven.core.eligibility.Ineligibility;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.Tenant;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.core.topology.Topology;
import org.passhaven.node.ManualTimers;
import org.passhaven.node.MemoryLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.ScoreCall;
import org.passhaven.protocol.region.RegionRestriction;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.BackEndService.Answer;
import org.passhaven.spi.BackEndService.Call;
import org.passhaven.spi.DutyService;
import org.passhaven.spi.TableService;
import org.passhaven.spi.TableService.Entry;

/** Guards against requests to evacuated zones and excluded regions, from any sender of a node. */
class EvacuationTest {
  private static final long DEADLINE_MILLIS = 1_500;
  private static final String OPERATOR = "operator";
  private static final String EVACUATE = "evacuate/";
  private final ManualTimers timers = new ManualTimers();
  private final MemoryTables tables = new MemoryTables(timers);
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final List<String> called = new ArrayList<>();
  private final List<String> checked = new ArrayList<>();
  private final List<String> generated = new ArrayList<>();
  private final List<UniEmitter<? super Answer>> answers = new ArrayList<>();
  private final List<MultiEmitter<? super BackEndService.Progress>> generations = new ArrayList<>();
  private final List<ForwardOutcome> outcomes = new ArrayList<>();
  private RegionRestriction routeRestriction = RegionRestriction.NONE;
  private RegionRestriction jobRestriction = RegionRestriction.NONE;
  private boolean isListingStuck;
  private boolean isTruncated;
  private Gateway gateway;

  private final class Servers extends GatewayFixture.SilentServers {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                called.add(target.instance());
                answers.add(emitter);
              });
    }

    @Override
    public Uni<Answer> callOnNewConnection(Target target, Call call) {
      return call(target, call);
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      return Multi.createFrom()
          .emitter(
              emitter -> {
                generated.add(target.instance());
                generations.add(emitter);
              });
    }
  }

  /** Tables whose changes can be lost, and whose listing can stop after its first page. */
  private final class Tables implements TableService {
    private final TableService service = tables.asService();

    @Override
    public Uni<Page> list(String table, String afterKey) {
      if (!isListingStuck || !table.equals(OPERATOR)) {
        return service.list(table, afterKey);
      }
      return afterKey.isEmpty()
          ? Uni.createFrom().item(new Page(List.of(configuration()), true, 1))
          : Uni.createFrom().nothing();
    }

    @Override
    public Uni<Changes> changes(String table, long from, long waitMillis) {
      if (isTruncated && table.equals(OPERATOR)) {
        isTruncated = false;
        return Uni.createFrom().item(new Changes(List.of(), true, from));
      }
      return service.changes(table, from, waitMillis);
    }

    @Override
    public Uni<Void> put(String table, List<Entry> entries) {
      return service.put(table, entries);
    }
  }

  private final class Documents extends GatewayFixture.EmptyDocuments {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      if (document.length == 0) {
        throw new DocumentException("empty", null);
      }
      TenantTable tenants =
          new TenantTable(
              Map.of(
                  "key",
                  new Tenant("t-far", OptionalInt.empty(), RegionRestriction.to(Set.of("far")))));
      return new RouteTable(
          Long.parseLong(new String(document, StandardCharsets.UTF_8)),
          List.of(route("r", "/", "s"), route("jobs", "/jobs/", "llm")),
          RequestLimits.DEFAULT,
          tenants);
    }

    @Override
    public Optional<String> evacuatedZone(String key) {
      return key.startsWith(EVACUATE)
          ? Optional.of(key.substring(EVACUATE.length()))
          : Optional.empty();
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      return Codec.decode(document, ServerEntry.class);
    }
  }

  private Route route(String name, String path, String service) {
    return new Route(
        name,
        "h",
        path,
        List.of(new ServiceShare(service, 1)),
        service.equals("llm") ? Route.Kind.JOBS : Route.Kind.REPEATABLE,
        DEADLINE_MILLIS,
        250,
        4,
        false,
        false,
        0,
        0,
        true,
        service.equals("llm") ? jobRestriction : routeRestriction);
  }

  /** Lists a server of each service in two zones of region "near" and one of region "far". */
  @BeforeEach
  void listServers() {
    for (String zone : List.of("z", "y", "x")) {
      list("s", zone);
      list("llm", zone);
    }
    put("config", "1");
  }

  private void list(String service, String zone) {
    String id = service + "-" + zone;
    ServerEntry entry =
        new ServerEntry(
            ServerIncarnation.of(id), service, id + ":1", zone, 2, true, Map.of("m", 1L));
    tables.add("servers", List.of(new Entry(id, Codec.encode(entry))));
  }

  private Entry configuration() {
    return new Entry("config", "1".getBytes(StandardCharsets.UTF_8));
  }

  private void put(String key, String document) {
    byte[] value = document == null ? null : document.getBytes(StandardCharsets.UTF_8);
    tables.add(OPERATOR, List.of(new Entry(key, value)));
    timers.advance(5);
  }

  private void startNode() {
    Topology topology = new Topology("z", Map.of("z", "near", "y", "near", "x", "far"));
    gateway =
        new Gateway(
            new GatewayContext(
                GatewayFixture.settings(topology),
                1,
                timers,
                bound -> 0,
                new MemoryLog(timers),
                new Tables(),
                new Servers(),
                DutyService.NONE,
                new Documents(),
                new GatewayMetrics(meters)));
    gateway.start();
    timers.advance(2_000);
  }

  private void submit(String tenant) {
    Call call = new Call("id", tenant, "GET", "/p", "h", List.of(), new byte[0], DEADLINE_MILLIS);
    gateway.forwarder().forward(route("r", "/", "s"), call).subscribe().with(outcomes::add);
    timers.advance(5);
  }

  private void succeedAll() {
    List<UniEmitter<? super Answer>> open = List.copyOf(answers);
    answers.clear();
    open.forEach(
        answer -> answer.complete(new Answer(200, false, "signed", List.of(), new byte[0])));
    timers.advance(5);
  }

  /** Returns the servers that requests go to while so many are open that all servers are used. */
  private Set<String> usedServers() {
    called.clear();
    for (int i = 0; i < 8; i++) {
      submit("");
    }
    Set<String> used = new TreeSet<>(called);
    succeedAll();
    return used;
  }

  private void submitJob(int items, ScoreCall score) {
    List<JobItem> all = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      all.add(new JobItem("i" + i, "/jobs/" + i, List.of(), new byte[0], "g" + i, 0, score));
    }
    JobSubmission submission = new JobSubmission("j", "h", "/jobs/", "", "m", "m", 0, 1, 1, all);
    gateway.jobs().submit(submission, 2_000).subscribe().with(outcome -> {});
    timers.advance(500);
  }

  private double ineligible(Ineligibility reason) {
    String tag = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    return meters.counter("passhaven.gateway.requests.ineligible", "reason", tag).count();
  }

  private double evacuatedZones() {
    return meters.get("passhaven.gateway.zones.evacuated").gauge().value();
  }

  @Test
  void anEvacuatedZoneGetsNoRequestsUntilItIsTakenBack() {
    startNode();
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x"));
    put(EVACUATE + "z", "{}");
    assertThat(evacuatedZones(), equalTo(1.0));
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
    put(EVACUATE + "z", null);
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x"));
    assertThat(evacuatedZones(), equalTo(0.0));
    assertThat("choosers leave them out", ineligible(Ineligibility.ZONE_EVACUATED), equalTo(0.0));
  }

  @Test
  void anEvacuationHoldsWithAnyDocumentUnderItsKey() {
    startNode();
    put(EVACUATE + "z", "");
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
    put(EVACUATE + "z", "not a document");
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
  }

  @Test
  void anUnreadableConfigurationHidesNoEvacuation() {
    startNode();
    tables.add(
        OPERATOR,
        List.of(new Entry("config", new byte[0]), new Entry(EVACUATE + "z", new byte[0])));
    timers.advance(5);
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
  }

  @Test
  void anUnknownZoneIsHarmlessAndItsLaterServersGetNothing() {
    startNode();
    put(EVACUATE + "new", "{}");
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x"));
    list("s", "new");
    timers.advance(1_000);
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x"));
    put(EVACUATE + "new", null);
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x", "s-new"));
  }

  @Test
  void serversOfAnEvacuatedZoneAreNoCapacity() {
    startNode();
    usedServers();
    assertThat(admissionLimit(), equalTo(9.0));
    put(EVACUATE + "z", "{}");
    assertThat(admissionLimit(), equalTo(6.0));
  }

  private double admissionLimit() {
    return meters.get("passhaven.gateway.admission.limit").tag("service", "s").gauge().value();
  }

  @Test
  void aRequestWithoutAnAllowedRegionDoesNotWaitBehindOthers() {
    startNode();
    for (int i = 0; i < 20; i++) {
      submit("");
    }
    int before = outcomes.size();
    routeRestriction = RegionRestriction.to(Set.of("elsewhere"));
    submit("");
    assertThat(outcomes, hasSize(before + 1));
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(before);
    assertThat(refused.reason(), equalTo(Ineligibility.REGION_NOT_ALLOWED.text()));
  }

  /** Lets the node send only while {@code maySend}, which no chooser knows. */
  private void limitSends(BooleanSupplier maySend) {
    gateway
        .eligibility()
        .limitColdStarts(
            new ColdStartLimit() {
              @Override
              public boolean maySend(ServerEntry server, long nowMillis) {
                return maySend.getAsBoolean();
              }

              @Override
              public void onSent(ServerEntry server, long nowMillis) {
                checked.add(server.incarnation().id());
              }
            });
  }

  @Test
  void noSenderOfANodeBypassesTheCheckOfServers() {
    startNode();
    limitSends(() -> false);
    submit("");
    submitJob(1, null);
    timers.advance(3_000);
    assertThat(called, empty());
    assertThat(generated, empty());
    assertThat(ineligible(Ineligibility.COLD_LIMIT_REACHED), greaterThan(1.0));
  }

  @Test
  void hedgesRetriesItemsAndScoringsAreAllChecked() {
    startNode();
    limitSends(() -> true);
    submit("");
    timers.advance(400);
    answers.get(0).complete(new Answer(503, true, "", List.of(), new byte[0]));
    timers.advance(400);
    submitJob(1, new ScoreCall("score", "h", "/score", new byte[0]));
    generations.get(0).emit(new BackEndService.Progress.Began(1));
    generations.get(0).emit(new BackEndService.Progress.Event(1, 0, "one"));
    generations.get(0).complete();
    timers.advance(100);
    assertThat("a request, its hedge and its retry, and a scoring", called, hasSize(4));
    assertThat(generated, hasSize(1));
    List<String> all = new ArrayList<>(called);
    all.addAll(generated);
    assertThat(checked, containsInAnyOrder(all.toArray()));
  }

  @Test
  void anEvacuationBeforeTheStartIsKnownFromTheListing() {
    put(EVACUATE + "z", "{}");
    startNode();
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
  }

  /** Loses the removal of an evacuation, so that only a new listing shows it. */
  private void loseRemoval() {
    tables.changesByTable.get(OPERATOR).removeIf(entry -> entry.key().startsWith(EVACUATE));
    isTruncated = true;
    put("version", "1");
  }

  @Test
  void aCompleteListingWithoutTheKeyTakesAnEvacuationBack() {
    startNode();
    put(EVACUATE + "z", "{}");
    // A document after the evacuation makes the follower read again, and find the gap.
    put("config", "2");
    isTruncated = true;
    tables.add(OPERATOR, List.of(new Entry("other", new byte[0])));
    tables.changesByTable.get(OPERATOR).removeIf(entry -> entry.key().startsWith(EVACUATE));
    timers.advance(5_000);
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y", "s-x"));
  }

  @Test
  void aListingUnderWayTakesNoEvacuationBack() {
    startNode();
    put(EVACUATE + "z", "{}");
    isListingStuck = true;
    loseRemoval();
    timers.advance(5_000);
    assertThat(isTruncated, is(false));
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
  }

  @Test
  void aNodeThatHasNotListedTheWholeTableSendsNothing() {
    put(EVACUATE + "z", "{}");
    isListingStuck = true;
    startNode();
    submit("");
    assertThat(called, empty());
    assertThat(gateway.isReady(), is(false));
  }

  @Test
  void aKnownEvacuationHoldsAndRequestsGoOnWhileTheStoreIsSilent() {
    startNode();
    put(EVACUATE + "z", "{}");
    tables.waitersByTable.clear();
    timers.advance(60_000);
    assertThat(usedServers(), containsInAnyOrder("s-y", "s-x"));
  }

  @Test
  void withAllZonesEvacuatedRequestsAreRefusedAtOnceAsNotRun() {
    startNode();
    List.of("z", "y", "x").forEach(zone -> put(EVACUATE + zone, "{}"));
    submit("");
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(0);
    assertThat(refused.reason(), equalTo(Ineligibility.ZONE_EVACUATED.text()));
    assertThat(
        "as late as callers wait",
        refused.retryAfterMillis(),
        greaterThanOrEqualTo(DEADLINE_MILLIS / 6 - 1));
    assertThat(called, empty());
  }

  @Test
  void waitingRequestsAreRefusedWhenTheLastZoneIsEvacuated() {
    startNode();
    for (int i = 0; i < 12; i++) {
      submit("");
    }
    int running = called.size();
    List.of("z", "y", "x").forEach(zone -> put(EVACUATE + zone, "{}"));
    assertThat(outcomes, hasSize(12 - running));
    assertThat(outcomes, hasSize(greaterThan(0)));
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(0);
    assertThat(refused.reason(), equalTo(Ineligibility.ZONE_EVACUATED.text()));
    assertThat(refused.retryAfterMillis(), greaterThanOrEqualTo((DEADLINE_MILLIS - 100) / 6 - 1));
  }

  @Test
  void hedgesAndRetriesAvoidAZoneThatWasEvacuatedMeanwhile() {
    startNode();
    submit("");
    String first = called.get(0).substring("s-".length());
    Set<String> others = new TreeSet<>(List.of("z", "y", "x"));
    others.remove(first);
    String evacuated = others.iterator().next();
    put(EVACUATE + evacuated, "{}");
    timers.advance(400);
    answers.get(0).complete(new Answer(503, true, "", List.of(), new byte[0]));
    timers.advance(400);
    assertThat(called, hasSize(greaterThan(1)));
    assertThat(called.stream().filter(("s-" + evacuated)::equals).toList(), empty());
    assertThat(ineligible(Ineligibility.ZONE_EVACUATED), equalTo(0.0));
  }

  @Test
  void generationsGoOnInAnEvacuatedZoneAndNewOnesGoElsewhere() {
    startNode();
    submitJob(6, null);
    assertThat(generated, hasSize(6));
    List.of("z", "x").forEach(zone -> put(EVACUATE + zone, "{}"));
    assertThat(generations.stream().filter(MultiEmitter::isCancelled).toList(), empty());
    int before = generated.size();
    // Stalled generations start again, each at a server that may get it.
    timers.advance(4_000);
    assertThat(generated.size(), greaterThan(before));
    assertThat(generated.subList(before, generated.size()), everyItem(equalTo("llm-y")));
    assertThat(ineligible(Ineligibility.ZONE_EVACUATED), equalTo(0.0));
  }

  @Test
  void itemsWaitWhileAllZonesAreEvacuatedAndStartAfterwards() {
    startNode();
    List.of("z", "y", "x").forEach(zone -> put(EVACUATE + zone, "{}"));
    submitJob(1, null);
    timers.advance(5_000);
    assertThat(generated, empty());
    put(EVACUATE + "y", null);
    timers.advance(500);
    assertThat(generated, everyItem(equalTo("llm-y")));
    assertThat(generated, hasSize(greaterThan(0)));
  }

  @Test
  void aRestrictedRequestIsServedOnlyInItsRegions() {
    routeRestriction = RegionRestriction.to(Set.of("near"));
    startNode();
    assertThat(usedServers(), containsInAnyOrder("s-z", "s-y"));
    submit("");
    timers.advance(400);
    answers.get(0).complete(new Answer(503, true, "", List.of(), new byte[0]));
    timers.advance(400);
    assertThat(new TreeSet<>(called), equalTo(Set.of("s-y", "s-z")));
    assertThat(ineligible(Ineligibility.REGION_NOT_ALLOWED), equalTo(0.0));
  }

  @Test
  void routeAndTenantBothBind() {
    startNode();
    submit("t-far");
    assertThat(called, equalTo(List.of("s-x")));
    routeRestriction = RegionRestriction.to(Set.of("near"));
    submit("t-far");
    assertThat(called, hasSize(1));
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(0);
    assertThat(refused.reason(), equalTo(Ineligibility.REGION_NOT_ALLOWED.text()));
  }

  @Test
  void anEvacuationThatLeavesNoAllowedRegionIsNamed() {
    routeRestriction = RegionRestriction.to(Set.of("far"));
    startNode();
    put(EVACUATE + "x", "{}");
    submit("");
    ForwardOutcome.NotRun refused = (ForwardOutcome.NotRun) outcomes.get(0);
    assertThat(refused.reason(), equalTo(Ineligibility.ZONE_EVACUATED.text()));
  }

  @Test
  void itemsAndTheirScoringsStayInTheRegionsOfTheirOwnRoutes() {
    jobRestriction = RegionRestriction.to(Set.of("far"));
    routeRestriction = RegionRestriction.to(Set.of("near"));
    startNode();
    submitJob(1, new ScoreCall("score", "h", "/score", new byte[0]));
    assertThat(generated, equalTo(List.of("llm-x")));
    generations.get(0).emit(new BackEndService.Progress.Began(1));
    generations.get(0).emit(new BackEndService.Progress.Event(1, 0, "one"));
    generations.get(0).complete();
    timers.advance(100);
    assertThat(called, hasSize(1));
    assertThat(called.get(0), not(equalTo("s-x")));
    assertThat(ineligible(Ineligibility.REGION_NOT_ALLOWED), equalTo(0.0));
  }
}
