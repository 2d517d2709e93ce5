package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.job.JobAction.Start;
import org.passhaven.core.job.JobScheduler.Failure;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;

/** Guards against avoiding all servers when connections rather than servers stall. */
class StallTest {
  private static final JobPolicy POLICY = new JobPolicy("llm", 3, false, 1, 40_000);
  private static final List<ServerEntry> SERVERS = List.of(server("a"), server("b"));
  private final JobScheduler scheduler = new JobScheduler("z");

  private static ServerEntry server(String name) {
    return new ServerEntry(
        ServerIncarnation.of(name), "llm", name + ":1", "z", 2, true, Map.of("m", 1L));
  }

  private List<Start> decide(long nowMillis) {
    return scheduler.decide(SERVERS, Map.of(), nowMillis).stream()
        .filter(Start.class::isInstance)
        .map(Start.class::cast)
        .toList();
  }

  private static Set<String> serversOf(List<Start> starts) {
    return starts.stream()
        .map(start -> start.server().incarnation().id())
        .collect(Collectors.toSet());
  }

  /** Starts two items at each of two servers; each has its first event at 100 ms. */
  private List<Start> startFourGenerations() {
    List<JobItem> items = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      items.add(new JobItem("x" + i, "/p/" + i, List.of(), new byte[0], "g" + i, 20, null));
    }
    scheduler.startOrUpdate(
        new Job(new JobSubmission("j", "h", "/p/", "", "m", "m", 0, 1, 1, items), 0),
        POLICY,
        new TextTable("m"));
    List<Start> starts = decide(0);
    assertThat(starts.size(), equalTo(4));
    assertThat(serversOf(starts), equalTo(Set.of("a", "b")));
    for (Start start : starts) {
      scheduler.onAccepted(start.attempt(), 1, 5);
      scheduler.onEvent(start.attempt(), 1, 0, "one", 100);
    }
    return starts;
  }

  @Test
  void singleStalledServerIsAvoidedForAWhile() {
    List<Long> attemptsAtOther =
        startFourGenerations().stream()
            .filter(start -> start.server().incarnation().id().equals("b"))
            .map(Start::attempt)
            .toList();
    attemptsAtOther.forEach(attempt -> scheduler.onEvent(attempt, 2, 0, "two", 700));
    assertThat(decide(800).isEmpty(), is(true));
    assertThat(decide(801).isEmpty(), is(true));
    attemptsAtOther.forEach(attempt -> scheduler.onCompleted(attempt, 810));
    List<Start> restarted = decide(820);
    assertThat(restarted.size(), equalTo(2));
    assertThat(serversOf(restarted), equalTo(Set.of("b")));
  }

  @Test
  void silentConnectionDoesNotAvoidItsServer() {
    List<Start> starts = startFourGenerations();
    starts.forEach(start -> scheduler.onFailed(start.attempt(), Failure.CONNECTION_SILENT, 500));
    List<Start> restarted = decide(540);
    assertThat(restarted.size(), equalTo(4));
    assertThat(serversOf(restarted), equalTo(Set.of("a", "b")));
  }
}
