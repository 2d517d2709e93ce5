package org.passhaven.core.placement;

import java.util.Objects;

/** Something that work can be placed on: its name and its zone. */
public record Member(String name, String zone) {
  public Member {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(zone, "zone");
  }
}
