package org.passhaven.protocol;

import java.util.Objects;

/**
 * One prompt of a training step.
 *
 * @param index position in the whole step, over all shards, from zero
 * @param text text of the prompt
 * @param seed random seed; sample {@code k} of the prompt uses {@code seed + k}
 */
public record Prompt(int index, String text, long seed) {
  public Prompt {
    Objects.requireNonNull(text, "text");
  }
}
