package org.passhaven.soak.check;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.Hashes;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.MemorySeen;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.NodeObservation.ServerHarmSet;
import org.passhaven.platform.standin.history.NodeObservation.StutterSet;
import org.passhaven.platform.standin.history.RequestObservation.FloodBegun;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestRefused;
import org.passhaven.platform.standin.history.RequestObservation.SlowReadBegun;
import org.passhaven.platform.standin.history.RequestObservation.SlowReadEnded;
import org.passhaven.platform.standin.net.Tenants;

class HardLoadChecksTest {
  private static final long BEGIN_MILLIS = 20_000;
  private static final int REQUESTS = 40;
  private static final int USUAL_MILLIS = 20;
  private static final long BUDGET_BYTES = 40_000_000;

  private static Story answered(Story story, long atMillis, String id, long afterMillis) {
    return story.add(
        new RequestAnswered(
            atMillis + afterMillis, atMillis, Story.FIRST, id, 200, "s", id, 1, true));
  }

  private static Story requests(Story story, long fromMillis, int served, long eachMillis) {
    for (int i = 0; i < REQUESTS; i++) {
      String id = "o-" + fromMillis + "-" + i;
      long atMillis = fromMillis + 100L * i;
      story.request(atMillis, Story.FIRST, id, true);
      if (i < served) {
        answered(story, atMillis, id, eachMillis);
      }
    }
    return story;
  }

  private static Story slowRead(String id, int status, long stillMillis, boolean isWhole) {
    long endMillis = BEGIN_MILLIS + 10_000;
    return Story.begin()
        .add(new SlowReadBegun(BEGIN_MILLIS, Story.FIRST, id))
        .request(BEGIN_MILLIS, Story.FIRST, id, true)
        .add(
            new SlowReadEnded(
                endMillis, BEGIN_MILLIS, Story.FIRST, id, status, stillMillis, 9, isWhole));
  }

  /**
   * A slow reader, ordinary requests beside it of which some are served, and later ones, all
   * served.
   */
  private static Story besideSlowReader(int served, long eachMillis) {
    Story story = slowRead("slow", 200, 10_000, false);
    requests(story, BEGIN_MILLIS + 100, served, eachMillis);
    return requests(story, BEGIN_MILLIS + 15_000, REQUESTS, USUAL_MILLIS);
  }

  @Test
  void othersAreServedAsOftenBesideSlowReaders() {
    besideSlowReader(REQUESTS, USUAL_MILLIS).assertHolds(Promise.SERVED_BESIDE_SLOW_READERS);
    besideSlowReader(36, USUAL_MILLIS).assertHolds(Promise.SERVED_BESIDE_SLOW_READERS);
    besideSlowReader(35, USUAL_MILLIS).assertBroken(Promise.SERVED_BESIDE_SLOW_READERS);
  }

  @Test
  void othersAreServedAsSoonBesideSlowReaders() {
    besideSlowReader(REQUESTS, 140).assertHolds(Promise.SERVED_BESIDE_SLOW_READERS);
    besideSlowReader(REQUESTS, 141).assertBroken(Promise.SERVED_BESIDE_SLOW_READERS);
  }

  @Test
  void theShareOfOthersDoesNotBindWhereSomethingElseIsAmiss() {
    besideSlowReader(0, 0)
        .add(new ProcessEvent(BEGIN_MILLIS, Story.FIRST, Happening.PAUSED, 11))
        .assertNotChecked(Promise.SERVED_BESIDE_SLOW_READERS);
    besideSlowReader(0, 0)
        .add(new ServerHarmSet(BEGIN_MILLIS, "", 1, "HANG"))
        .add(new ServerHarmSet(BEGIN_MILLIS + 9_000, "", 1, ""))
        .assertNotChecked(Promise.SERVED_BESIDE_SLOW_READERS);
    besideSlowReader(0, 0)
        .add(new StutterSet(BEGIN_MILLIS, "", true))
        .add(new StutterSet(BEGIN_MILLIS + 9_000, "", false))
        .assertNotChecked(Promise.SERVED_BESIDE_SLOW_READERS);
  }

  @Test
  void onlyCallersThatTakeNothingForLongAreDropped() {
    slowRead("a", 200, 250, true).assertHolds(Promise.ONLY_STALLED_DROPPED);
    slowRead("a", 200, 8_000, false).assertHolds(Promise.ONLY_STALLED_DROPPED);
    slowRead("a", 200, 7_999, false).assertBroken(Promise.ONLY_STALLED_DROPPED);
    slowRead("a", 200, 250, false)
        .add(new ProcessEvent(BEGIN_MILLIS + 1_000, Story.FIRST, Happening.KILLED, 11))
        .assertNotChecked(Promise.ONLY_STALLED_DROPPED);
  }

  private static Story memory(long residentBytes, long heldBytes) {
    return Story.begin()
        .add(new MemorySeen(BEGIN_MILLIS, Story.FIRST, residentBytes, heldBytes, BUDGET_BYTES));
  }

  @Test
  void aProcessAndItsBodiesStayWithinTheirMemory() {
    memory(256_000_000, BUDGET_BYTES).assertHolds(Promise.WITHIN_MEMORY);
    memory(256_000_001, 0).assertBroken(Promise.WITHIN_MEMORY);
    memory(100_000_000, BUDGET_BYTES + 1).assertBroken(Promise.WITHIN_MEMORY);
  }

  private static String[] ids(String tenant, int count) {
    return LongStream.iterate(1, i -> i + 1)
        .mapToObj(i -> "%016x".formatted(Hashes.of("r" + i)))
        .filter(id -> Tenants.ofRequest(id).equals(tenant))
        .limit(count)
        .toArray(String[]::new);
  }

  /**
   * A flood of which half is served, and 20 requests of another tenant of which some are served.
   */
  private static Story flood(int served) {
    String flooding = Tenants.ofRequest("x");
    String other = Tenants.ofRequest("a").equals(flooding) ? Tenants.ofRequest("b") : "";
    other = other.isEmpty() ? Tenants.ofRequest("a") : other;
    Story story = Story.begin().add(new FloodBegun(BEGIN_MILLIS, "", flooding, 4_000));
    String[] many = ids(flooding, 400);
    for (int i = 0; i < many.length; i++) {
      story.request(BEGIN_MILLIS + i, Story.FIRST, many[i], true);
      if (i % 2 == 0) {
        answered(story, BEGIN_MILLIS + i, many[i], USUAL_MILLIS);
      }
    }
    String[] few = ids(other, 20);
    for (int i = 0; i < few.length; i++) {
      story.request(BEGIN_MILLIS + 100L * i, Story.FIRST, few[i], true);
      if (i < served) {
        answered(story, BEGIN_MILLIS + 100L * i, few[i], USUAL_MILLIS);
      }
    }
    return story;
  }

  @Test
  void noOtherTenantIsServedLessThanAQuarterAsOftenAsAll() {
    flood(20).assertHolds(Promise.NO_TENANT_STARVED);
    flood(3).assertHolds(Promise.NO_TENANT_STARVED);
    flood(2).assertBroken(Promise.NO_TENANT_STARVED);
    flood(0)
        .add(new ProcessEvent(BEGIN_MILLIS, Story.FIRST, Happening.PAUSED, 11))
        .assertNotChecked(Promise.NO_TENANT_STARVED);
  }

  @Test
  void whatAdmissionRejectedWithATimeToComeBackDoesNotRun() {
    String id = ids(Tenants.ofRequest("x"), 1)[0];
    RequestRefused rejected =
        new RequestRefused(BEGIN_MILLIS + 9, BEGIN_MILLIS, Story.FIRST, id, 503, 0.149);
    Story kept = Story.begin().request(BEGIN_MILLIS, Story.FIRST, id, false).add(rejected);
    kept.assertHolds(Promise.REFUSED_NOT_RUN);
    kept.run(BEGIN_MILLIS + 200, id, 1).assertBroken(Promise.REFUSED_NOT_RUN);
  }
}
