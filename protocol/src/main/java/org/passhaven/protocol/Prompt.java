package org.passhaven.protocol;

import java.util.Objects;

/**
 * One prompt of a training step.
 *
 * @param index place in the whole step, over all shards, from zero
 * @param text the prompt
 * @param seed seed for sampling; sample {@code k} of the prompt uses {@code seed + k}
 */
public record Prompt(int index, String text, long seed) {
  public Prompt {
    Objects.requireNonNull(text, "text");
  }
}
