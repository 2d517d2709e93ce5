package org.passhaven.simulator.world;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.core.request.IntentTable;
import org.passhaven.emulator.model.LogModel;
import org.passhaven.simulator.network.SimulatedNetwork;
import org.passhaven.simulator.network.TrafficMeter;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/**
 * The platform's log in virtual time; may be down, slow, or lose answers after the write took
 * effect.
 */
public final class SimulatedLog {
  private static final int OVERHEAD_BYTES = 150;
  private static final long WRITE_MICROS = 2_000;
  private static final String PLATFORM_ZONE = "";
  private final VirtualTime time;
  private final SimulatedNetwork network;
  private final UniformRandomProvider random;
  private final LogModel log = new LogModel();
  private boolean down;
  private long slowMicros;
  private double lostAnswerProbability;

  /** Creates an empty log. */
  public SimulatedLog(VirtualTime time, SimulatedNetwork network, UniformRandomProvider random) {
    this.time = Objects.requireNonNull(time, "time");
    this.network = Objects.requireNonNull(network, "network");
    this.random = Objects.requireNonNull(random, "random");
  }

  /** The log's content. */
  public LogModel model() {
    return log;
  }

  /** Takes the log down or up. */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  /** Makes each operation slower. */
  public void setSlow(long extraMicros) {
    slowMicros = extraMicros;
  }

  /** Share of appends that take effect although the answer is lost. */
  public void setLostAnswers(double probability) {
    lostAnswerProbability = probability;
  }

  /** The log as one process reaches it. */
  public LogService clientOf(SimulatedProcess process, TrafficMeter meter) {
    return new Client(process, meter);
  }

  private final class Client implements LogService {
    private final SimulatedProcess process;
    private final TrafficMeter meter;

    Client(SimulatedProcess process, TrafficMeter meter) {
      this.process = process;
      this.meter = meter;
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      long bytes = records.stream().mapToLong(r -> r.length).sum();
      count(stream, bytes + OVERHEAD_BYTES);
      return Uni.createFrom()
          .emitter(
              emitter -> {
                if (!isReachable()) {
                  failSoon(emitter);
                  return;
                }
                time.after(
                    oneWay() + WRITE_MICROS + slowMicros, () -> write(stream, records, emitter));
              });
    }

    private void write(String stream, List<byte[]> records, UniEmitter<? super Long> emitter) {
      if (down) {
        failSoon(emitter);
        return;
      }
      long offset = log.append(stream, records);
      if (random.nextDouble() >= lostAnswerProbability && isReachable()) {
        network.deliver(process, oneWay(), () -> emitter.complete(offset));
      }
    }

    @Override
    public Uni<Batch> read(String stream, long fromOffset, int most, long waitMillis) {
      count(stream, OVERHEAD_BYTES);
      return Uni.createFrom()
          .emitter(
              emitter -> {
                if (!isReachable()) {
                  failSoon(emitter);
                  return;
                }
                time.after(
                    oneWay() + slowMicros,
                    () -> serve(stream, fromOffset, most, waitMillis, emitter));
              });
    }

    private void serve(
        String stream,
        long fromOffset,
        int most,
        long waitMillis,
        UniEmitter<? super Batch> emitter) {
      if (waitMillis <= 0 || down || log.hasRecord(stream, fromOffset)) {
        answer(stream, fromOffset, most, emitter);
        return;
      }
      boolean[] answered = new boolean[1];
      Runnable once =
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              answer(stream, fromOffset, most, emitter);
            }
          };
      log.onNextAppend(stream, once);
      time.after(waitMillis * VirtualTime.MICROS_PER_MILLI, once);
    }

    private void answer(
        String stream, long fromOffset, int most, UniEmitter<? super Batch> emitter) {
      if (!isReachable()) {
        failSoon(emitter);
        return;
      }
      Batch batch = log.read(stream, fromOffset, most);
      long bytes = batch.records().stream().mapToLong(r -> r.length).sum();
      network.deliver(
          process,
          oneWay(),
          () -> {
            count(stream, bytes + OVERHEAD_BYTES);
            emitter.complete(batch);
          });
    }

    private void count(String stream, long bytes) {
      if (IntentTable.isIntentStream(stream)) {
        meter.onIntent(bytes);
      } else {
        meter.onControl(bytes);
      }
    }

    private boolean isReachable() {
      return !down && network.isOpen(process.zone(), PLATFORM_ZONE);
    }

    private long oneWay() {
      return network.latencyMicros(process.zone(), PLATFORM_ZONE);
    }

    private void failSoon(UniEmitter<?> emitter) {
      network.deliver(
          process,
          2 * oneWay(),
          () -> emitter.fail(new PlatformException(Kind.OUTCOME_UNKNOWN, "the log is down")));
    }
  }
}
