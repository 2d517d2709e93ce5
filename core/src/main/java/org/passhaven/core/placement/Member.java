package org.passhaven.core.placement;

import java.util.Objects;

/** A placement target, such as a node, with its name and zone. */
public record Member(String name, String zone) {
  public Member {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(zone, "zone");
  }
}
