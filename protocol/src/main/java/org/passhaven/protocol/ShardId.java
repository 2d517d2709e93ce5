package org.passhaven.protocol;

import java.util.Objects;

/**
 * Identity of a shard of a trainer's run. Each shard has its own stream in the platform's log,
 * which contains both the lease of the shard and the records that the lease protects.
 *
 * @param trainer name of the trainer in the configuration
 * @param index shard number, from zero
 */
public record ShardId(String trainer, int index) {
  public ShardId {
    Objects.requireNonNull(trainer, "trainer");
  }

  /** Returns the name of the shard's stream in the platform's log. */
  public String stream() {
    return "run-" + trainer + "-" + index;
  }

  @Override
  public String toString() {
    return trainer + "/" + index;
  }
}
