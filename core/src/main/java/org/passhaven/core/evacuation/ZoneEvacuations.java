package org.passhaven.core.evacuation;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The zones that the operator has evacuated: their servers must receive no new requests until the
 * evacuation is taken back. Not thread-safe.
 */
public final class ZoneEvacuations {
  private final Set<String> zones = new TreeSet<>();

  /** Records the evacuation of a zone; returns whether it was not evacuated before. */
  public boolean add(String zone) {
    return zones.add(Objects.requireNonNull(zone, "zone"));
  }

  /** Takes back the evacuation of a zone; returns whether it was evacuated. */
  public boolean remove(String zone) {
    return zones.remove(zone);
  }

  /** Returns whether a zone is evacuated. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }

  /** Returns whether no zone is evacuated. */
  public boolean isEmpty() {
    return zones.isEmpty();
  }

  /** Returns the evacuated zones, in alphabetical order. */
  public Set<String> zones() {
    return new TreeSet<>(zones);
  }
}
