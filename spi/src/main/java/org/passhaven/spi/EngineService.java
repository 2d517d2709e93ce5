package org.passhaven.spi;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.passhaven.protocol.Segment;

/** Client of the model engines. Each call identifies the engine by its address. */
public interface EngineService {
  /**
   * A generation to start or resume.
   *
   * @param requestId unique id of the generation, used by cancel and export
   * @param seed random seed; determines the sampling together with the prompt
   * @param prefix tokens generated so far
   * @param priority priority; higher values go first
   */
  record GenerationRequest(
      String requestId, String model, String prompt, long seed, int[] prefix, int priority) {}

  /** Load and state reported by an engine, with a delay. */
  record Report(
      long incarnation,
      String model,
      long version,
      long orderEpoch,
      int running,
      int queued,
      int capacity,
      boolean leaving) {
    /** Returns the number of running and queued sequences. */
    public int load() {
      return running + queued;
    }
  }

  /**
   * Fenced order to load a weight version; an engine rejects an epoch below the highest that it has
   * seen.
   */
  record VersionOrder(String model, long version, long epoch) {}

  /** Outcome of an order. */
  enum OrderOutcome {
    DONE,
    STALE_EPOCH,
    SWAP_FAILED
  }

  /**
   * Generates tokens. Each segment names the version that generated its tokens. The stream
   * completes when the sample is complete, fails with {@link PlatformException} if it is
   * interrupted, and is stopped by cancellation.
   */
  Multi<Segment> generate(String address, GenerationRequest request);

  /** Requests the load and state of an engine. */
  Uni<Report> report(String address);

  /** Orders an engine to load a weight version; completes when the swap has succeeded or failed. */
  Uni<OrderOutcome> order(String address, VersionOrder order);

  /** Returns the tokens of several segments in order. */
  static int[] tokensOf(List<Segment> segments) {
    return segments.stream()
        .flatMapToInt(segment -> java.util.Arrays.stream(segment.tokens()))
        .toArray();
  }
}
