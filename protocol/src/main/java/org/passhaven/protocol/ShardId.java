package org.passhaven.protocol;

import java.util.Objects;

/**
 * One shard of a trainer's run. Each shard has a stream of its own in the platform's log, which
 * holds both the lease of the shard and the records that the lease protects.
 *
 * @param trainer trainer's name in the configuration
 * @param index shard number, from zero
 */
public record ShardId(String trainer, int index) {
  public ShardId {
    Objects.requireNonNull(trainer, "trainer");
  }

  /** Name of the shard's stream in the platform's log. */
  public String stream() {
    return "run-" + trainer + "-" + index;
  }

  @Override
  public String toString() {
    return trainer + "/" + index;
  }
}
