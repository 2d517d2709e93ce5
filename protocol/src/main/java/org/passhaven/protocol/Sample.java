package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * A completely generated sample of a training step.
 *
 * @param position delivery position in its shard's step, from zero
 * @param promptIndex index of the prompt in the step
 * @param sampleIndex index among the samples of the prompt
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

  /** Returns the oldest weight version among the segments. */
  @JsonIgnore
  public long oldestVersion() {
    return segments.stream().mapToLong(Segment::version).min().orElseThrow();
  }

  /** Returns the newest weight version among the segments. */
  @JsonIgnore
  public long newestVersion() {
    return segments.stream().mapToLong(Segment::version).max().orElseThrow();
  }

  /** Returns the number of tokens in all segments. */
  @JsonIgnore
  public int tokenCount() {
    return segments.stream().mapToInt(segment -> segment.tokens().length).sum();
  }

  /** Returns this sample with another delivery position. */
  public Sample atPosition(long newPosition) {
    return new Sample(newPosition, promptIndex, sampleIndex, attempt, segments, score);
  }
}
