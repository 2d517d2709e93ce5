package org.passhaven.spi;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.passhaven.protocol.Segment;

/** Model engines. Each call names the engine by its address. */
public interface EngineService {
  /**
   * A generation to begin or to resume.
   *
   * @param requestId unique; names the generation in cancel and export
   * @param seed decides the sampling together with the prompt
   * @param prefix tokens that the sample already has
   * @param priority higher goes first
   */
  record GenerationRequest(
      String requestId, String model, String prompt, long seed, int[] prefix, int priority) {}

  /** Load and state that an engine reports, with a lag. */
  record Report(
      long incarnation,
      String model,
      long version,
      long orderEpoch,
      int running,
      int queued,
      int capacity,
      boolean leaving) {
    /** Sequences on the engine. */
    public int load() {
      return running + queued;
    }
  }

  /**
   * Fenced order to serve a weight version; an engine refuses an epoch below the highest it has
   * seen.
   */
  record VersionOrder(String model, long version, long epoch) {}

  /** What became of an order. */
  enum OrderOutcome {
    DONE,
    STALE_EPOCH,
    SWAP_FAILED
  }

  /**
   * Generates tokens. Each segment names the version that generated its tokens. The stream ends
   * when the sample is whole, fails with {@link PlatformException} if it was cut, and is stopped by
   * cancelling.
   */
  Multi<Segment> generate(String address, GenerationRequest request);

  /** Reports load and state. */
  Uni<Report> report(String address);

  /** Orders a weight version; answers when the swap is done or has failed. */
  Uni<OrderOutcome> order(String address, VersionOrder order);

  /** Tokens of several segments in order. */
  static int[] tokensOf(List<Segment> segments) {
    return segments.stream()
        .flatMapToInt(segment -> java.util.Arrays.stream(segment.tokens()))
        .toArray();
  }
}
