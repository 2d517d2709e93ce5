package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;

/**
 * Tokens of a sample that one engine generated with one weight version.
 *
 * @param version weight version that the engine reported with these tokens
 * @param engine engine that generated them
 * @param incarnation incarnation of the engine
 * @param tokens token ids in order
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Segment(long version, ServerId engine, long incarnation, int[] tokens) {
  public Segment {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(tokens, "tokens");
  }
}
