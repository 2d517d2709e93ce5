package org.passhaven.core.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.routing.EngineView;
import org.passhaven.protocol.ServerId;

/** Guards against too many simultaneous or too frequent weight swaps. */
class VersionRolloutTest {
  private static EngineView engine(String id, long version, int load) {
    return new EngineView(new ServerId(id), id, "z", 1, version, 8, load, true);
  }

  private static List<String> ids(List<EngineView> views) {
    return views.stream().map(view -> view.id().value()).toList();
  }

  @Test
  void limitsConcurrentSwapsAndOrdersTheLeastLoadedFirst() {
    VersionRollout rollout = new VersionRollout(2);
    List<EngineView> engines = List.of(engine("a", 0, 5), engine("b", 0, 0), engine("c", 0, 1));
    assertThat(ids(rollout.plan(engines, Set.of(), 1, 0)), equalTo(List.of("b", "c")));
    assertThat(rollout.plan(engines, Set.of(), 1, 0), empty());
    rollout.onResponse(new ServerId("b"), true, 10);
    assertThat(
        ids(rollout.plan(List.of(engine("a", 0, 5), engine("b", 1, 0)), Set.of(), 1, 10)),
        equalTo(List.of("a")));
  }

  @Test
  void failedSwapIsRetriedWithExponentialBackoff() {
    VersionRollout rollout = new VersionRollout(1);
    List<EngineView> engines = List.of(engine("a", 0, 0));
    rollout.plan(engines, Set.of(), 1, 0);
    rollout.onResponse(new ServerId("a"), false, 0);
    assertThat(rollout.plan(engines, Set.of(), 1, 499), empty());
    assertThat(ids(rollout.plan(engines, Set.of(), 1, 500)), equalTo(List.of("a")));
    rollout.onResponse(new ServerId("a"), false, 500);
    assertThat(rollout.plan(engines, Set.of(), 1, 1_499), empty());
    assertThat(ids(rollout.plan(engines, Set.of(), 1, 1_500)), equalTo(List.of("a")));
  }

  @Test
  void engineThatATrainerWaitsForIsDeferredForALimitedTime() {
    VersionRollout rollout = new VersionRollout(2);
    List<EngineView> engines = List.of(engine("a", 0, 1));
    assertThat(rollout.plan(engines, Set.of(new ServerId("a")), 1, 0), empty());
    assertThat(
        ids(rollout.plan(engines, Set.of(new ServerId("a")), 1, 6_000)), equalTo(List.of("a")));
  }
}
