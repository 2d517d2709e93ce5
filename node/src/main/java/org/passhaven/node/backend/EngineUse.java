package org.passhaven.node.backend;

import java.util.Objects;

/**
 * Use of an engine group by one component of a node.
 *
 * <p>The group is divided into partitions, one for each shard of a trainer or, for completions, one
 * for each live node. The user monitors the engines of its partition and sends them work; the owner
 * of a shard also orders them to load new versions. If the partition has too few engines, the user
 * also uses engines of other partitions.
 *
 * @param user name of the user; determines which engines of other partitions it uses
 * @param group name of the engine group
 * @param partitionIndex index of the user's partition, from zero
 * @param partitionCount number of partitions
 * @param minEngines minimum number of engines to use, if the group has as many
 */
public record EngineUse(
    String user, String group, int partitionIndex, int partitionCount, int minEngines) {
  public EngineUse {
    Objects.requireNonNull(user, "user");
    Objects.requireNonNull(group, "group");
  }
}
