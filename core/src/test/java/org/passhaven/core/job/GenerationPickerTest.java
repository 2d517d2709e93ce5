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
import org.passhaven.core.backend.ServerStart;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.member.ServerUse;

class GenerationPickerTest {
  private static final ServerEntry FAST = server("fast");
  private static final ServerEntry SLOW = server("slow");
  private final ServerView view = new ServerView();
  private final LengthEstimator lengths = new LengthEstimator();
  private final GenerationPicker picker = new GenerationPicker("n", "z", view, lengths);
  private final ReadyServers servers = new ReadyServers(List.of(FAST, SLOW), Map.of());

  private static ServerEntry server(String name) {
    return new ServerEntry(
        ServerStart.of(name), "llm", name + ":1", "z", 12, true, Map.of("m", 1L));
  }

  private static ItemExecution item(long expectedTokens) {
    JobItem item = JobTableTest.item("x" + expectedTokens, "g" + expectedTokens);
    JobItem hinted =
        new JobItem(
            item.id(), item.path(), List.of(), item.body(), item.group(), expectedTokens, null);
    Job job = new Job(JobTableTest.submission("j", 0, 0, hinted), 0);
    return new JobExecution(job, new JobPolicy("llm", 3, false, 1, 0)).items.get(hinted.id());
  }

  /** One event for ten tokens; the slow server takes a quarter longer for each. */
  @BeforeEach
  void observe() {
    lengths.onCompleted(100, 10);
    for (int i = 0; i < 20; i++) {
      view.intervals().onInterval(ServerStart.of("fast"), 40, i);
      view.intervals().onInterval(ServerStart.of("slow"), 50, i);
    }
    picker.beginRound(servers, 20);
  }

  private String choose(long expectedTokens) {
    return picker.choose(item(expectedTokens), 20).orElseThrow().start().id();
  }

  private void busy(String server, int generations) {
    for (int i = 0; i < generations; i++) {
      view.health().onSent(ServerStart.of(server));
    }
  }

  @Test
  void aLongTextGoesToTheFastServerThoughItIsFuller() {
    busy("fast", 9);
    assertThat(choose(1_000), equalTo("fast"));
  }

  @Test
  void aShortTextLeavesTheFastServerRoom() {
    busy("fast", 9);
    assertThat(choose(50), equalTo("slow"));
  }

  @Test
  void aTextIsMovedWhereItsRestEndsMuchSooner() {
    ItemExecution run = item(1_000);
    run.server = ServerStart.of("slow");
    assertThat(picker.chooseFaster(run, 20), equalTo(Optional.of(FAST)));
    ItemExecution small = item(100);
    small.server = ServerStart.of("slow");
    assertThat(picker.chooseFaster(small, 20), equalTo(Optional.empty()));
    run.server = ServerStart.of("fast");
    assertThat(picker.chooseFaster(run, 20), equalTo(Optional.empty()));
  }

  @Test
  void aTextThatTurnsOutLongIsMovedToo() {
    ItemExecution run = item(50);
    run.server = ServerStart.of("slow");
    for (int event = 1; event <= 40; event++) {
      run.text.append(event, 1, "e");
    }
    assertThat(picker.chooseFaster(run, 20), equalTo(Optional.of(FAST)));
  }

  /** A tenth more is within what a server's load makes of it. */
  @Test
  void aTextStaysAtAServerThatIsHardlySlower() {
    for (int i = 0; i < 100; i++) {
      view.intervals().onInterval(ServerStart.of("fast"), 40, 2_000 + i);
      view.intervals().onInterval(ServerStart.of("slow"), 44, 2_000 + i);
    }
    picker.beginRound(servers, 2_100);
    ItemExecution run = item(1_000);
    run.server = ServerStart.of("slow");
    assertThat(picker.chooseFaster(run, 2_100), equalTo(Optional.empty()));
  }

  @Test
  void aTextStaysAtAServerThatIsSlowForAMoment() {
    for (int now = 1_000; now < 2_600; now++) {
      view.intervals().onInterval(ServerStart.of("fast"), 40, now);
      view.intervals().onInterval(ServerStart.of("slow"), now < 2_000 ? 40 : 100, now);
    }
    picker.beginRound(servers, 2_600);
    ItemExecution run = item(1_000);
    run.server = ServerStart.of("slow");
    assertThat(picker.chooseFaster(run, 2_600), equalTo(Optional.empty()));
    assertThat(view.slowServers(), empty());
  }

  @Test
  void aServerWhoseSlotsOthersHaveTakenIsLeftToThem() {
    assertThat(choose(1_000), equalTo("fast"));
    view.onReport("other", 1, List.of(new ServerUse("fast", 0, 12, 40)), 20);
    picker.beginRound(servers, 20);
    assertThat(choose(100), equalTo("slow"));
    assertThat(view.estimate(ServerStart.of("fast"), 20).placesTaken(), equalTo(12));
  }

  @Test
  void whatOthersToldOfAServersPaceCountsUntilThisNodeKnowsIt() {
    ServerView newcomer = new ServerView();
    newcomer.onReport(
        "other", 1, List.of(new ServerUse("fast", 0, 1, 40), new ServerUse("slow", 0, 1, 80)), 20);
    newcomer.beginRound(servers, 20);
    assertThat(newcomer.estimate(ServerStart.of("slow"), 20).relativePace(), equalTo(2.0));
    assertThat(newcomer.slowServers(), contains(ServerStart.of("slow")));
  }

  @Test
  void aServerThatWasJustOrderedToLoadGetsOneGenerationAtATime() {
    ReadyServers justNamed =
        new ReadyServers(List.of(FAST, SLOW), Map.of("m", new NamedVersion(2, 0)));
    picker.beginRound(justNamed, 20);
    for (String chosen : List.of("fast", "slow")) {
      ItemExecution run = item(1_000);
      run.server = ServerStart.of(chosen);
      assertThat(choose(1_000), equalTo(chosen));
      picker.onSent(run);
    }
    assertThat(picker.choose(item(1_000), 20), equalTo(Optional.empty()));
    ItemExecution refused = item(1_000);
    refused.server = ServerStart.of("fast");
    picker.removePending(refused);
    picker.onRefused(refused, 25);
    assertThat(picker.choose(item(1_000), 890), equalTo(Optional.empty()));
    ServerEntry loaded =
        new ServerEntry(FAST.start(), "llm", "fast:1", "z", 12, true, Map.of("m", 2L));
    picker.beginRound(
        new ReadyServers(List.of(loaded, SLOW), Map.of("m", new NamedVersion(2, 0))), 890);
    assertThat(picker.choose(item(1_000), 890), equalTo(Optional.of(loaded)));
  }

  @Test
  void aServerThatJustStartedGetsOneGenerationUntilItTakesIt() {
    ServerEntry started = server("a-new-one");
    picker.beginRound(new ReadyServers(List.of(started), Map.of()), 30);
    ItemExecution run = item(100);
    run.server = started.start();
    picker.onSent(run);
    assertThat(picker.choose(item(100), 30), equalTo(Optional.empty()));
    picker.onAccepted(run);
    assertThat(picker.choose(item(100), 30), equalTo(Optional.of(started)));
  }
}
