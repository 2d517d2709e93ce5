package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * A finished sample.
 *
 * @param position delivery position in its shard's step, from zero
 * @param promptIndex place of the prompt in the step
 * @param sampleIndex place among the samples of the prompt
 * @param attempt attempt that produced it
 * @param segments tokens with the weight versions that generated them
 * @param score score from the scoring service; NaN if the trainer names no scorer
 */
public record Sample(
    long position,
    int promptIndex,
    int sampleIndex,
    int attempt,
    List<Segment> segments,
    double score) {
  public Sample {
    segments = List.copyOf(segments);
  }

  /** Oldest weight version among the segments. */
  @JsonIgnore
  public long oldestVersion() {
    return segments.stream().mapToLong(Segment::version).min().orElseThrow();
  }

  /** Newest weight version among the segments. */
  @JsonIgnore
  public long newestVersion() {
    return segments.stream().mapToLong(Segment::version).max().orElseThrow();
  }

  /** Number of tokens over all segments. */
  @JsonIgnore
  public int tokenCount() {
    return segments.stream().mapToInt(segment -> segment.tokens().length).sum();
  }

  /** The same sample at another delivery position. */
  public Sample atPosition(long newPosition) {
    return new Sample(newPosition, promptIndex, sampleIndex, attempt, segments, score);
  }
}
