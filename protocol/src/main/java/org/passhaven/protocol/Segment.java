package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;

/**
 * Tokens of a sample that one engine generated on one weight version.
 *
 * @param version weight version, as the engine reported it with these tokens
 * @param engine engine that generated them
 * @param incarnation the engine's start
 * @param tokens the tokens
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Segment(long version, ServerId engine, long incarnation, int[] tokens) {
  public Segment {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(tokens, "tokens");
  }
}
