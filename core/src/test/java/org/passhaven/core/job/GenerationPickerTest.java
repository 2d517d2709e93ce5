package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.coldstart.ColdStartLimiter;
import org.passhaven.core.topology.Topology;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.member.ServerUse;

/** Guards against generations that are placed on or moved to the wrong server. */
class GenerationPickerTest {
  private static final ServerEntry FAST = server("fast");
  private static final ServerEntry SLOW = server("slow");
  private final ServerView view = new ServerView();
  private final LengthEstimator lengths = new LengthEstimator();
  private final GenerationPicker picker =
      new GenerationPicker("n", "z", view, lengths, ColdStartLimiter.none());
  private final ReadyServers servers = new ReadyServers(List.of(FAST, SLOW), Map.of());

  private static ServerEntry server(String name) {
    return server(name, "z");
  }

  private static ServerEntry server(String name, String zone) {
    return new ServerEntry(
        ServerIncarnation.of(name), "llm", name + ":1", zone, 12, true, Map.of("m", 1L));
  }

  private static ItemExecution item(long expectedTokens) {
    JobItem item = JobTableTest.item("x" + expectedTokens, "g" + expectedTokens);
    JobItem hinted =
        new JobItem(
            item.id(), item.path(), List.of(), item.body(), item.group(), expectedTokens, null);
    Job job = new Job(JobTableTest.submission("j", 0, 0, hinted), 0);
    return new JobExecution(job, new JobPolicy("llm", 3, false, 1, 0)).items.get(hinted.id());
  }

  /** Records one event for ten tokens; the slow server takes a quarter longer for each event. */
  @BeforeEach
  void recordIntervals() {
    lengths.onCompleted(100, 10);
    for (int i = 0; i < 20; i++) {
      view.intervalTracker().onInterval(ServerIncarnation.of("fast"), 40, i);
      view.intervalTracker().onInterval(ServerIncarnation.of("slow"), 50, i);
    }
    picker.beginRound(servers, 20);
  }

  private String choose(long expectedTokens) {
    return picker.choose(item(expectedTokens), 20).orElseThrow().incarnation().id();
  }

  private void addGenerations(String server, int generations) {
    for (int i = 0; i < generations; i++) {
      view.health().onSent(ServerIncarnation.of(server));
    }
  }

  @Test
  void longTextGoesToTheFastServerDespiteItsLoad() {
    addGenerations("fast", 9);
    assertThat(choose(1_000), equalTo("fast"));
  }

  @Test
  void shortTextGoesToTheLessLoadedSlowServer() {
    addGenerations("fast", 9);
    assertThat(choose(50), equalTo("slow"));
  }

  @Test
  void textMovesToAServerThatEndsItMuchSooner() {
    ItemExecution execution = item(1_000);
    execution.server = ServerIncarnation.of("slow");
    assertThat(picker.chooseFaster(execution, 20), equalTo(Optional.of(FAST)));
    ItemExecution shortExecution = item(100);
    shortExecution.server = ServerIncarnation.of("slow");
    assertThat(picker.chooseFaster(shortExecution, 20), equalTo(Optional.empty()));
    execution.server = ServerIncarnation.of("fast");
    assertThat(picker.chooseFaster(execution, 20), equalTo(Optional.empty()));
  }

  @Test
  void textLongerThanExpectedIsMoved() {
    ItemExecution execution = item(50);
    execution.server = ServerIncarnation.of("slow");
    for (int event = 1; event <= 40; event++) {
      execution.text.append(event, 1, "e");
    }
    assertThat(picker.chooseFaster(execution, 20), equalTo(Optional.of(FAST)));
  }

  @Test
  void textStaysAtASlightlySlowerServer() {
    for (int i = 0; i < 100; i++) {
      view.intervalTracker().onInterval(ServerIncarnation.of("fast"), 40, 2_000 + i);
      view.intervalTracker().onInterval(ServerIncarnation.of("slow"), 44, 2_000 + i);
    }
    picker.beginRound(servers, 2_100);
    ItemExecution execution = item(1_000);
    execution.server = ServerIncarnation.of("slow");
    assertThat(picker.chooseFaster(execution, 2_100), equalTo(Optional.empty()));
  }

  @Test
  void textStaysAtATransientlySlowServer() {
    for (int now = 1_000; now < 2_600; now++) {
      view.intervalTracker().onInterval(ServerIncarnation.of("fast"), 40, now);
      view.intervalTracker().onInterval(ServerIncarnation.of("slow"), now < 2_000 ? 40 : 100, now);
    }
    picker.beginRound(servers, 2_600);
    ItemExecution execution = item(1_000);
    execution.server = ServerIncarnation.of("slow");
    assertThat(picker.chooseFaster(execution, 2_600), equalTo(Optional.empty()));
    assertThat(view.slowServers(), empty());
  }

  @Test
  void serverWithSlotsOccupiedByPeersIsAvoided() {
    assertThat(choose(1_000), equalTo("fast"));
    view.onReport("other", 1, List.of(new ServerUse("fast", 0, 12, 40)), 20);
    picker.beginRound(servers, 20);
    assertThat(choose(100), equalTo("slow"));
    assertThat(view.estimate(ServerIncarnation.of("fast"), 20).slotsInUse(), equalTo(12));
  }

  @Test
  void reportedIntervalIsUsedUntilThisNodeHasSamples() {
    ServerView viewWithoutSamples = new ServerView();
    viewWithoutSamples.onReport(
        "other", 1, List.of(new ServerUse("fast", 0, 1, 40), new ServerUse("slow", 0, 1, 80)), 20);
    viewWithoutSamples.beginRound(servers, 20);
    assertThat(
        viewWithoutSamples.estimate(ServerIncarnation.of("slow"), 20).relativePace(), equalTo(2.0));
    assertThat(viewWithoutSamples.slowServers(), contains(ServerIncarnation.of("slow")));
  }

  @Test
  void serverAboutToLoadGetsOneGenerationAtATime() {
    ReadyServers justAnnounced =
        new ReadyServers(List.of(FAST, SLOW), Map.of("m", new AnnouncedVersion(2, 0)));
    picker.beginRound(justAnnounced, 20);
    for (String chosen : List.of("fast", "slow")) {
      ItemExecution execution = item(1_000);
      execution.server = ServerIncarnation.of(chosen);
      assertThat(choose(1_000), equalTo(chosen));
      picker.onSent(execution);
    }
    assertThat(picker.choose(item(1_000), 20), equalTo(Optional.empty()));
    ItemExecution refused = item(1_000);
    refused.server = ServerIncarnation.of("fast");
    picker.removePending(refused);
    picker.onRefused(refused, 25);
    assertThat(picker.choose(item(1_000), 890), equalTo(Optional.empty()));
    ServerEntry loaded =
        new ServerEntry(FAST.incarnation(), "llm", "fast:1", "z", 12, true, Map.of("m", 2L));
    picker.beginRound(
        new ReadyServers(List.of(loaded, SLOW), Map.of("m", new AnnouncedVersion(2, 0))), 890);
    assertThat(picker.choose(item(1_000), 890), equalTo(Optional.of(loaded)));
  }

  @Test
  void newServerGetsOneGenerationUntilItAcceptsIt() {
    ServerEntry started = server("a-new-one");
    picker.beginRound(new ReadyServers(List.of(started), Map.of()), 30);
    ItemExecution execution = item(100);
    execution.server = started.incarnation();
    picker.onSent(execution);
    assertThat(picker.choose(item(100), 30), equalTo(Optional.empty()));
    picker.onAccepted(execution);
    assertThat(picker.choose(item(100), 30), equalTo(Optional.of(started)));
  }

  @Test
  void anotherRegionCostsMoreThanAnotherZoneAtEqualLoad() {
    Topology topology = new Topology("z", Map.of("z", "a", "y", "a", "x", "b"));
    GenerationPicker inRegion =
        new GenerationPicker(
            "n",
            topology,
            new ServerView(),
            new LengthEstimator(),
            (server, restriction) -> true,
            ColdStartLimiter.none());
    ServerEntry otherZone = server("i-zone", "y");
    ServerEntry otherRegion = server("a-region", "x");
    inRegion.beginRound(new ReadyServers(List.of(otherRegion, otherZone), Map.of()), 20);
    assertThat(inRegion.choose(item(100), 20), equalTo(Optional.of(otherZone)));
    inRegion.beginRound(new ReadyServers(List.of(otherRegion), Map.of()), 20);
    assertThat(inRegion.choose(item(100), 20), equalTo(Optional.of(otherRegion)));
  }
}
