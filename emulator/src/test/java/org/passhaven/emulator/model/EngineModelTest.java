package org.passhaven.emulator.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.spi.EngineService.OrderOutcome;
import org.passhaven.spi.EngineService.VersionOrder;

class EngineModelTest {
  private static final EngineSettings SETTINGS =
      new EngineSettings(2, 100, 8, 1_000, 100, 1_000, 50, 0);

  private static final class Recorder implements EngineModel.Sink {
    final List<Segment> segments = new ArrayList<>();
    int finished;
    int lost;

    @Override
    public void onTokens(Segment segment) {
      segments.add(segment);
    }

    @Override
    public void onFinished() {
      finished++;
    }

    @Override
    public void onLost() {
      lost++;
    }
  }

  private boolean swapFails;
  private final EngineModel engine =
      new EngineModel(
          new ServerId("e"), SETTINGS, "m", 1, 0, new WeightStoreModel(10), () -> swapFails);

  private static GenerationRequest request(String id, int[] prefix, int priority) {
    return new GenerationRequest(id, "m", "p", 1, prefix, priority);
  }

  private long run(Recorder recorder, long fromMillis) {
    long now = fromMillis;
    while (recorder.finished == 0 && now < fromMillis + 100_000) {
      engine.step(now);
      now += 100;
    }
    return now;
  }

  @Test
  void sampleHasItsWholeLengthAndTruthfulTokens() {
    Recorder recorder = new Recorder();
    engine.submit(request("r", new int[0], 0), recorder);
    run(recorder, 0);
    int place = 0;
    for (Segment segment : recorder.segments) {
      for (int token : segment.tokens()) {
        assertThat(
            token,
            equalTo(TokenOracle.token(TokenOracle.hash("p"), 1, segment.version(), place++)));
      }
    }
    assertThat(place, equalTo(TokenOracle.length("p", 1)));
  }

  @Test
  void resumedSampleGoesOnAfterItsPrefix() {
    Recorder recorder = new Recorder();
    int length = TokenOracle.length("p", 1);
    engine.submit(request("r", new int[length - 3], 0), recorder);
    run(recorder, 0);
    assertThat(
        recorder.segments.stream().mapToInt(segment -> segment.tokens().length).sum(), equalTo(3));
  }

  @Test
  void failedSwapKeepsTheOldVersionAndALowerFenceIsRefused() {
    List<OrderOutcome> outcomes = new ArrayList<>();
    swapFails = true;
    engine.order(new VersionOrder("m", 3, 3), 0, outcomes::add);
    engine.step(10);
    engine.step(70);
    assertThat(engine.version(), equalTo(0L));
    swapFails = false;
    engine.order(new VersionOrder("m", 3, 3), 100, outcomes::add);
    engine.step(120);
    engine.step(200);
    engine.order(new VersionOrder("m", 2, 2), 300, outcomes::add);
    assertThat(
        outcomes,
        equalTo(List.of(OrderOutcome.SWAP_FAILED, OrderOutcome.DONE, OrderOutcome.STALE_EPOCH)));
    assertThat(engine.version(), equalTo(3L));
  }

  @Test
  void higherPriorityGoesFirstWhenTheBatchIsFull() {
    List<Recorder> recorders = List.of(new Recorder(), new Recorder(), new Recorder());
    engine.submit(request("low", new int[0], 0), recorders.get(0));
    engine.submit(request("middle", new int[0], 1), recorders.get(1));
    engine.submit(request("high", new int[0], 2), recorders.get(2));
    engine.step(0);
    assertThat(recorders.get(0).segments.size(), equalTo(0));
    assertThat(recorders.get(2).segments.size(), greaterThan(0));
  }

  @Test
  void restartLosesWhatRunsAndTellsSo() {
    Recorder recorder = new Recorder();
    engine.submit(request("r", new int[0], 0), recorder);
    engine.step(0);
    engine.restart(2, 0);
    assertThat(recorder.lost, equalTo(1));
    assertThat(engine.isBusy(), equalTo(false));
  }
}
