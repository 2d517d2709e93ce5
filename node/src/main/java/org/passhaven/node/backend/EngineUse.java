package org.passhaven.node.backend;

import java.util.Objects;

/**
 * Use of an engine group by one part of a node.
 *
 * <p>A group that several shards share is split among them, so that each engine is watched, loaded
 * and ordered to new versions by one owner; a part that is too small takes further engines, as
 * others do.
 *
 * @param user decides which further engines are taken
 * @param group engine group
 * @param partitionIndex number of the user's part, from zero
 * @param partitionCount number of parts
 * @param minEngines engines that the user takes at least, if the group has as many
 */
public record EngineUse(
    String user, String group, int partitionIndex, int partitionCount, int minEngines) {
  public EngineUse {
    Objects.requireNonNull(user, "user");
    Objects.requireNonNull(group, "group");
  }
}
