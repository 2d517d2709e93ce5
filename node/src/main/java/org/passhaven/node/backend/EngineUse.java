package org.passhaven.node.backend;

import java.util.Objects;

/**
 * Use of an engine group by one part of a node.
 *
 * @param user decides, together with {@code most}, which subset of the group is used
 * @param group engine group
 * @param most engines in the subset; {@link #ALL} for the whole group
 */
public record EngineUse(String user, String group, int most) {
  /** The whole group. */
  public static final int ALL = 0;

  public EngineUse {
    Objects.requireNonNull(user, "user");
    Objects.requireNonNull(group, "group");
  }
}
