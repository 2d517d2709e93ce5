package org.passhaven.core.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerHealth;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerPicker;
import org.passhaven.core.forward.ForwardPlan.Outcome;
import org.passhaven.core.forward.ForwardPlan.Step;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.ServiceShare;

/** Guards against duplicate runs, wrong retries and late attempts of forwarded requests. */
class ForwardPlanTest {
  private final ServerHealth health = new ServerHealth();
  private final ServerPicker picker = new ServerPicker(health, "z");
  private final List<ServerEntry> servers =
      List.of(server("a", "z"), server("b", "z"), server("c", "y"));

  private static ServerEntry server(String name, String zone) {
    return new ServerEntry(ServerIncarnation.of(name), "s", name + ":1", zone, 4, true, Map.of());
  }

  private static ForwardPlan plan(Route.Kind kind, int attempts) {
    Route route =
        new Route(
            "r",
            "h",
            "/r/",
            List.of(new ServiceShare("s", 1)),
            kind,
            1_000,
            200,
            attempts,
            false,
            false,
            0,
            0,
            true);
    return new ForwardPlan(route, 1_000);
  }

  private Optional<String> next(ForwardPlan plan, long now) {
    return plan.nextServer(servers, picker, now).map(server -> server.incarnation().id());
  }

  @Test
  void aRepeatableRequestGoesToAnotherServerAfterAnUnknownOutcome() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 2);
    assertThat(next(plan, 0), equalTo(Optional.of("a")));
    assertThat(plan.onEnded(Outcome.UNKNOWN, 10), is(Step.TRY_NEXT));
    assertThat(next(plan, 10), equalTo(Optional.of("b")));
    assertThat(plan.onEnded(Outcome.UNKNOWN, 20), is(Step.GIVE_UP));
    assertThat(plan.hasDefinitelyNotRun(), is(false));
  }

  @Test
  void anAtMostOnceRequestIsNotRetriedAfterItMayHaveRun() {
    ForwardPlan plan = plan(Route.Kind.AT_MOST_ONCE, 3);
    next(plan, 0);
    assertThat(plan.onEnded(Outcome.NOT_RUN, 5), is(Step.TRY_NEXT));
    next(plan, 5);
    assertThat(plan.onEnded(Outcome.UNKNOWN, 10), is(Step.GIVE_UP));
    assertThat(plan.nextServer(servers, picker, 11).isPresent(), is(false));
  }

  @Test
  void aRequestRefusedByAllServersHasDefinitelyNotRun() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 2);
    Step last = Step.TRY_NEXT;
    for (int tries = 0; last == Step.TRY_NEXT; tries++) {
      assertThat("bounded", tries < 20);
      next(plan, tries);
      last = plan.onEnded(Outcome.NOT_RUN, tries);
    }
    assertThat(last, is(Step.GIVE_UP));
    assertThat(plan.hasDefinitelyNotRun(), is(true));
  }

  @Test
  void concurrentAttemptsDoNotExceedTheMaximum() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 2);
    next(plan, 0);
    next(plan, 120);
    assertThat(next(plan, 130).isPresent(), is(false));
    assertThat(plan.onEnded(Outcome.SERVER_ERROR, 140), is(Step.WAIT));
    assertThat(next(plan, 150).isPresent(), is(false));
    assertThat(plan.onEnded(Outcome.SUCCESS, 160), is(Step.DELIVER));
  }

  @Test
  void theLastServerErrorIsDelivered() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 1);
    next(plan, 0);
    assertThat(plan.onEnded(Outcome.SERVER_ERROR, 10), is(Step.DELIVER));
    assertThat(plan.serverErrors(), is(1));
  }

  @Test
  void anotherServerErrorIsRetriedAndDeliveredButNotCounted() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 2);
    next(plan, 0);
    assertThat(plan.onEnded(Outcome.OTHER_SERVER_ERROR, 10), is(Step.TRY_NEXT));
    next(plan, 10);
    assertThat(plan.onEnded(Outcome.OTHER_SERVER_ERROR, 20), is(Step.DELIVER));
    assertThat(plan.serverErrors(), is(0));
    assertThat(plan.hasDefinitelyNotRun(), is(false));
  }

  @Test
  void noAttemptStartsTooCloseToTheDeadline() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 3);
    next(plan, 0);
    assertThat(plan.onEnded(Outcome.UNKNOWN, 995), is(Step.GIVE_UP));
    assertThat(next(plan, 995).isPresent(), is(false));
  }

  @Test
  void atMostOnceRequestsAreNeverHedged() {
    assertThat(plan(Route.Kind.AT_MOST_ONCE, 3).hedgeAfterMillis().isPresent(), is(false));
    assertThat(plan(Route.Kind.REPEATABLE, 3).hedgeAfterMillis(), equalTo(Optional.of(120L)));
  }

  @Test
  void aFailedServerIsAvoidedWhileThereAreOthers() {
    health.onFailure(ServerIncarnation.of("a"), 0);
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 10), equalTo(Optional.of("b")));
    health.onFailure(ServerIncarnation.of("b"), 0);
    health.onFailure(ServerIncarnation.of("c"), 0);
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 10).isPresent(), is(true));
  }

  @Test
  void theNearServerIsChosenUntilItIsBusier() {
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 0), equalTo(Optional.of("a")));
    health.onSent(ServerIncarnation.of("a"));
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 0), equalTo(Optional.of("b")));
    health.onSent(ServerIncarnation.of("b"));
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 0), equalTo(Optional.of("c")));
  }

  @Test
  void aMuchSlowerServerIsChosenLast() {
    health.onSuccess(ServerIncarnation.of("a"), 400, 0);
    health.onSuccess(ServerIncarnation.of("b"), 40, 0);
    health.onSuccess(ServerIncarnation.of("c"), 40, 0);
    assertThat(next(plan(Route.Kind.REPEATABLE, 1), 1), equalTo(Optional.of("b")));
  }

  @Test
  void uncountedTimePreventsNewAttemptsButNotThoseInProgress() {
    ForwardPlan plan = plan(Route.Kind.REPEATABLE, 3);
    assertThat(next(plan, 0), equalTo(Optional.of("a")));
    plan.onUncountedTime(600);
    assertThat(plan.remainingMillis(100), is(300L));
    assertThat(plan.deadlineMillis(), is(1_000L));
    assertThat(plan.onEnded(Outcome.UNKNOWN, 200), is(Step.TRY_NEXT));
    assertThat(next(plan, 200), equalTo(Optional.of("b")));
    plan.onUncountedTime(900);
    assertThat(plan.onEnded(Outcome.UNKNOWN, 300), is(Step.GIVE_UP));
    ForwardPlan underWay = plan(Route.Kind.REPEATABLE, 3);
    next(underWay, 0);
    underWay.onUncountedTime(5_000);
    assertThat(underWay.onEnded(Outcome.SUCCESS, 300), is(Step.DELIVER));
  }
}
