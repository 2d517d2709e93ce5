package org.passhaven.soak.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class FaultPlannerTest {
  private static final long TRAFFIC_MILLIS = 180_000;
  private static final PlanSettings SETTINGS =
      new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of());
  private static final PlanSettings WITH_CRASHES =
      new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.CRASHES));
  private static final int SEEDS = 60;

  /** Faults of seed 7 other than uneven back ends, which must not change them. */
  private static final int REST_COUNT = 33;

  private static final int REST_HASH = 1498160959;

  private static List<FaultPlan> plans() {
    return LongStream.range(0, SEEDS).mapToObj(seed -> FaultPlanner.plan(seed, SETTINGS)).toList();
  }

  @Test
  void theSameSeedGivesTheSamePlanAndAnotherSeedAnother() {
    assertThat(FaultPlanner.plan(7, SETTINGS), equalTo(FaultPlanner.plan(7, SETTINGS)));
    assertThat(
        FaultPlanner.plan(7, SETTINGS).faults(),
        not(equalTo(FaultPlanner.plan(8, SETTINGS).faults())));
  }

  @Test
  void everyFaultLiesBetweenTheCalmOfStartAndEndAndHitsNodesThatExist() {
    for (FaultPlan plan : plans()) {
      assertThat(plan.faults().size(), greaterThan(5));
      for (Fault fault : plan.faults()) {
        assertThat(fault.atMillis(), greaterThanOrEqualTo(FaultPlanner.CALM_START_MILLIS));
        assertThat(
            fault.atMillis() + fault.forMillis(),
            lessThan(TRAFFIC_MILLIS - FaultPlanner.CALM_END_MILLIS + 1));
        fault.nodes().forEach(node -> assertThat(node, lessThan(SETTINGS.nodeCount())));
      }
    }
  }

  @Test
  void seedsTogetherPlanEveryHarmAndSomeOverlap() {
    Set<String> kinds =
        plans().stream()
            .flatMap(plan -> plan.faults().stream())
            .map(Fault::kind)
            .collect(Collectors.toSet());
    for (ProcessHarm harm : ProcessHarm.values()) {
      assertThat(kinds.contains("process-" + harm), equalTo(harm != ProcessHarm.SUSPEND));
    }
    for (StoreHarm harm : StoreHarm.values()) {
      assertThat(kinds, hasItem("store-" + harm));
    }
    for (LinkHarm harm : LinkHarm.values()) {
      assertThat(kinds.contains("link-STORE-" + harm), equalTo(harm != LinkHarm.MUTE));
    }
    assertThat(plans().stream().anyMatch(FaultPlannerTest::overlaps), equalTo(true));
  }

  @Test
  void aFinalFaultEndsSomeRunsOrAllWhereItIsAskedFor() {
    long some = plans().stream().filter(FaultPlan::isFinalFault).count();
    assertThat(some, greaterThan(10L));
    assertThat(some, lessThan(50L));
    PlanSettings certain = new PlanSettings(5, 4, TRAFFIC_MILLIS, true, Set.of());
    assertThat(
        LongStream.range(0, SEEDS)
            .allMatch(seed -> FaultPlanner.plan(seed, certain).isFinalFault()),
        equalTo(true));
  }

  private static boolean overlaps(FaultPlan plan) {
    List<Fault> faults = plan.faults();
    for (int i = 1; i < faults.size(); i++) {
      Fault before = faults.get(i - 1);
      if (before.atMillis() + before.forMillis() > faults.get(i).atMillis()) {
        return true;
      }
    }
    return false;
  }

  @Test
  void crashesAndSuspensionsAreAddedToWhatTheSeedGives() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, WITH_CRASHES).faults();
      List<Fault> usual = FaultPlanner.plan(seed, SETTINGS).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      Set<String> added =
          faults.stream()
              .filter(fault -> !usual.contains(fault))
              .map(Fault::kind)
              .collect(Collectors.toSet());
      assertThat(added, hasItem("process-" + ProcessHarm.SUSPEND));
      for (RequestHarm harm : RequestHarm.values()) {
        assertThat(added, hasItem("request-" + harm));
      }
    }
  }

  @Test
  void silentConnectionsAreAddedToWhatTheSeedGives() {
    PlanSettings silent =
        new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.SILENT_CONNECTIONS));
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, silent).faults();
      List<Fault> usual = FaultPlanner.plan(seed, SETTINGS).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      List<Fault> added = faults.stream().filter(fault -> !usual.contains(fault)).toList();
      assertThat(added.size(), greaterThan(5));
      for (Fault fault : added) {
        assertThat(((Fault.OnLink) fault).harm(), equalTo(LinkHarm.MUTE));
      }
    }
  }

  @Test
  void someBackEndsTakeTwoToSixTimesAsLongForMomentsOrForLong() {
    List<Fault.UnevenBackEnd> uneven =
        plans().stream()
            .flatMap(plan -> plan.faults().stream())
            .filter(Fault.UnevenBackEnd.class::isInstance)
            .map(Fault.UnevenBackEnd.class::cast)
            .toList();
    assertThat(uneven.size(), greaterThan(SEEDS));
    for (Fault.UnevenBackEnd each : uneven) {
      assertThat(each.factor(), greaterThanOrEqualTo(2.0));
      assertThat(each.factor(), lessThan(6.0));
      assertThat(each.backEnd(), lessThan(SETTINGS.backEndCount()));
    }
    Set<String> kinds = uneven.stream().map(Fault::kind).collect(Collectors.toSet());
    assertThat(kinds, equalTo(Set.of("uneven-MOMENT", "uneven-LONG")));
  }

  @Test
  void slowReadersAndFloodsAreAddedToWhatTheSeedGives() {
    PlanSettings hard = new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.HARD_LOAD));
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, hard).faults();
      List<Fault> usual = FaultPlanner.plan(seed, SETTINGS).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      Set<String> added =
          faults.stream()
              .filter(fault -> !usual.contains(fault))
              .map(Fault::kind)
              .collect(Collectors.toSet());
      assertThat(added, equalTo(Set.of("callers-SLOW_READERS", "callers-TENANT_FLOOD")));
    }
  }

  @Test
  void evacuationsAreAddedToWhatTheSeedGivesOneAfterTheOther() {
    PlanSettings evacuating =
        new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.EVACUATIONS));
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, evacuating).faults();
      List<Fault> usual = FaultPlanner.plan(seed, SETTINGS).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      List<Fault> added = faults.stream().filter(fault -> !usual.contains(fault)).toList();
      Map<String, List<Fault>> byKind = added.stream().collect(Collectors.groupingBy(Fault::kind));
      assertThat(byKind.keySet(), equalTo(Set.of("evacuate-ZONE", "cold-RESTART")));
      assertThat(byKind.get("evacuate-ZONE").size(), greaterThan(1));
      long freeFromMillis = 0;
      for (Fault fault : byKind.get("evacuate-ZONE")) {
        assertThat(fault.atMillis(), greaterThan(freeFromMillis));
        freeFromMillis = fault.atMillis() + fault.forMillis();
      }
    }
  }

  @Test
  void secondAnswersAreAddedToWhatTheSeedGivesOneAfterTheOther() {
    PlanSettings stuttering =
        new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.SECOND_ANSWERS));
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, stuttering).faults();
      List<Fault> usual = FaultPlanner.plan(seed, SETTINGS).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      List<Fault> added = faults.stream().filter(fault -> !usual.contains(fault)).toList();
      assertThat(added.size(), greaterThan(5));
      long freeFromMillis = 0;
      for (Fault fault : added) {
        Fault.SecondAnswers stutter = (Fault.SecondAnswers) fault;
        assertThat(stutter.secondPermille(), greaterThanOrEqualTo(300));
        assertThat(stutter.failPermille(), greaterThanOrEqualTo(100));
        assertThat(stutter.refusePermille(), greaterThanOrEqualTo(100));
        assertThat(fault.atMillis(), greaterThan(freeFromMillis));
        freeFromMillis = fault.atMillis() + fault.forMillis();
      }
    }
  }

  @Test
  void brokenAnswersAreAddedToWhatTheSeedGivesAlsoBesideSecondAnswers() {
    PlanSettings stuttering =
        new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.SECOND_ANSWERS));
    PlanSettings both =
        new PlanSettings(
            5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.SECOND_ANSWERS, Addition.BROKEN_ANSWERS));
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = FaultPlanner.plan(seed, both).faults();
      List<Fault> usual = FaultPlanner.plan(seed, stuttering).faults();
      assertThat(faults.containsAll(usual), equalTo(true));
      List<Fault> added = faults.stream().filter(fault -> !usual.contains(fault)).toList();
      assertThat(added.size(), greaterThan(5));
      long freeFromMillis = 0;
      for (Fault fault : added) {
        Fault.BrokenAnswers broken = (Fault.BrokenAnswers) fault;
        assertThat(broken.brokenPermille(), greaterThanOrEqualTo(100));
        assertThat(broken.oddPermille(), greaterThanOrEqualTo(50));
        assertThat(fault.atMillis(), greaterThan(freeFromMillis));
        freeFromMillis = fault.atMillis() + fault.forMillis();
      }
    }
  }

  @Test
  void unevenBackEndsLeaveTheRestOfASeedsPlanAsItWas() {
    List<String> rest =
        FaultPlanner.plan(7, SETTINGS).faults().stream()
            .filter(fault -> !(fault instanceof Fault.UnevenBackEnd))
            .map(fault -> fault.atMillis() + " " + fault.kind())
            .toList();
    assertThat(rest.size(), equalTo(REST_COUNT));
    assertThat(rest.hashCode(), equalTo(REST_HASH));
  }

  @Test
  void wavesOfCrashesBeginWithThoseOfTheReviewAndAreAddedToTheSeedsOwnPlan() {
    PlanSettings waves =
        new PlanSettings(5, 12, TRAFFIC_MILLIS, false, Set.of(Addition.CRASH_WAVES));
    PlanSettings none = new PlanSettings(5, 12, TRAFFIC_MILLIS, false, Set.of());
    for (long seed = 1; seed <= 20; seed++) {
      List<Fault> planned = FaultPlanner.plan(seed, waves).faults();
      List<Fault.CrashWave> added =
          planned.stream()
              .filter(Fault.CrashWave.class::isInstance)
              .map(Fault.CrashWave.class::cast)
              .toList();
      assertThat(
          added.stream().limit(3).map(Fault.CrashWave::atMillis).toList(),
          equalTo(List.of(500L, 2_500L, 7_750L)));
      for (Fault.CrashWave wave : added) {
        assertThat(wave.backEnds().size(), lessThanOrEqualTo(CrashWavePlan.MODEL_SERVERS));
        wave.backEnds()
            .forEach(server -> assertThat(server, lessThan(CrashWavePlan.MODEL_SERVERS)));
      }
      assertThat(
          planned.stream().filter(fault -> !(fault instanceof Fault.CrashWave)).toList(),
          equalTo(FaultPlanner.plan(seed, none).faults()));
    }
  }

  @Test
  void answersWithoutEndAreDrawnOnlyWhereAskedFor() {
    PlanSettings endless =
        new PlanSettings(5, 4, TRAFFIC_MILLIS, false, Set.of(Addition.ENDLESS_ANSWERS));
    for (long seed = 1; seed <= 20; seed++) {
      assertThat(hasEndlessAnswers(FaultPlanner.plan(seed, endless)), is(true));
      assertThat(hasEndlessAnswers(FaultPlanner.plan(seed, SETTINGS)), is(false));
    }
  }

  private static boolean hasEndlessAnswers(FaultPlan plan) {
    return plan.faults().stream()
        .anyMatch(fault -> fault instanceof Fault.OnBackEnd on && on.harm() == BackEndHarm.ENDLESS);
  }
}
