package org.passhaven.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.ServerId;

/** Guards against overloading, outdated or failing back ends being chosen. */
class RoutingTest {
  private static EngineView engine(String id, String zone, long version, int load) {
    return new EngineView(new ServerId(id), id, zone, 1, version, 4, load, true);
  }

  private static ServiceView server(String id, String zone, int outstanding, double share) {
    return new ServiceView(new ServerId(id), id, zone, outstanding, share);
  }

  @Test
  void engineWithMostFreeCapacityIsPickedAndNeverOverloaded() {
    LeastLoadedPicker picker =
        new LeastLoadedPicker(List.of(engine("a", "z", 0, 3), engine("b", "z", 0, 2)), "z");
    assertThat(picker.pick(0, null).orElseThrow().id().value(), equalTo("b"));
    picker.pick(0, null);
    picker.pick(0, null);
    assertThat(picker.pick(0, null), equalTo(Optional.empty()));
  }

  @Test
  void engineOnATooOldVersionIsNotPicked() {
    LeastLoadedPicker picker = new LeastLoadedPicker(List.of(engine("a", "z", 1, 0)), "z");
    assertThat(picker.pick(2, null), equalTo(Optional.empty()));
    assertThat("older is fine", picker.pick(1, null).isPresent());
  }

  @Test
  void enginesWithThePrefixOrInTheZoneArePreferredAtSimilarLoad() {
    List<EngineView> views =
        List.of(engine("a", "y", 0, 1), engine("b", "z", 0, 1), engine("c", "y", 0, 1));
    assertThat(
        new LeastLoadedPicker(views, "z").pick(0, null).orElseThrow().id().value(), equalTo("b"));
    assertThat(
        new LeastLoadedPicker(views, "z").pick(0, new ServerId("c")).orElseThrow().id().value(),
        equalTo("c"));
  }

  @Test
  void baselinePicksEnginesInRoundRobinOrder() {
    RoundRobinPicker picker =
        new RoundRobinPicker(List.of(engine("a", "z", 0, 9), engine("b", "z", 0, 9)), 0);
    assertThat(picker.pick(0, null).orElseThrow().id().value(), equalTo("a"));
    assertThat(picker.pick(0, null).orElseThrow().id().value(), equalTo("b"));
    assertThat(picker.pick(0, null).orElseThrow().id().value(), equalTo("a"));
  }

  @Test
  void serverWithFewestRequestsIsPickedAndATriedOneNever() {
    List<ServiceView> servers =
        List.of(server("a", "z", 5, 1), server("b", "y", 0, 1), server("c", "z", 0, 0));
    assertThat(ServicePicker.pick(servers, "z", Set.of()).orElseThrow().id().value(), equalTo("b"));
    assertThat(
        ServicePicker.pick(servers, "z", Set.of(new ServerId("b"))).orElseThrow().id().value(),
        equalTo("a"));
    assertThat(
        ServicePicker.pick(servers, "z", Set.of(new ServerId("a"), new ServerId("b"))),
        equalTo(Optional.empty()));
  }

  @Test
  void failingBackEndIsEjectedAndRampedUpGradually() {
    BackEndHealth health = new BackEndHealth();
    for (int i = 0; i < 3; i++) {
      health.onFailure(0);
    }
    assertThat(health.loadShare(999), equalTo(0.0));
    assertThat(health.loadShare(1_000), closeTo(0.1, 0.01));
    assertThat(health.loadShare(3_500), closeTo(0.55, 0.01));
    assertThat(health.loadShare(6_000), equalTo(1.0));
  }
}
