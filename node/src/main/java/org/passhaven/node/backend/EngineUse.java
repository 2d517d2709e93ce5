package org.passhaven.node.backend;

import java.util.Objects;

/**
 * Use of an engine group by one component of a node.
 *
 * <p>A group that several shards share is partitioned among them, so that each engine has one owner
 * that monitors it, sends it work and orders it to new versions. If a partition has too few
 * engines, its user also uses engines of other partitions.
 *
 * @param user name of the user; ranks the engines of other partitions
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
