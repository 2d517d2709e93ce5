package org.passhaven.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.passhaven.core.admission.AdmissionRequest.Source;

/**
 * Guards against a difference between the bulk and the single computation of how many requests go
 * before each one, on random queues.
 */
class AdmissionQueueTest {
  private static final int REQUESTS = 300;

  private static AdmissionRequest request(long id, Random random) {
    return new AdmissionRequest(
        id,
        "s",
        "route" + random.nextInt(3),
        "tenant" + random.nextInt(5),
        random.nextBoolean() ? Source.CALLER : Source.SCORING,
        random.nextInt(3),
        random.nextInt(2_000));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void bulkPositionsMatchPositionOfEachRequest(long seed) {
    Random random = new Random(seed);
    AdmissionQueue queue = new AdmissionQueue(0);
    long now = 0;
    for (long id = 0; id < REQUESTS; id++) {
      AdmissionRequest request = request(id, random);
      now += random.nextInt(20);
      queue.onArrived(request, now);
      queue.add(request);
      if (random.nextInt(3) == 0) {
        long at = now;
        queue
            .poll(source -> random.nextBoolean(), at)
            .ifPresent(position -> queue.onSent(position, at));
      }
      List<FairQueue.QueuePosition> positions = queue.positions(now);
      assertThat(
          positions.stream().map(FairQueue.QueuePosition::request).toList(), equalTo(queue.all()));
      for (FairQueue.QueuePosition position : positions) {
        assertThat(position.ahead(), equalTo(queue.countAhead(position.request(), now)));
      }
    }
  }
}
