package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/** The platform's lagging list of live and leaving machines. */
public interface MachineList {
  /** What a machine is. */
  enum Kind {
    NODE,
    ENGINE,
    SERVICE
  }

  /** Whether a machine stays. */
  enum State {
    LIVE,
    LEAVING
  }

  /**
   * One machine.
   *
   * @param group engine group or server group; for nodes empty
   * @param address host and port
   */
  record Machine(String id, Kind kind, String group, String address, String zone, State state) {}

  /**
   * The list at a version, as changes since the known one or whole.
   *
   * @param whole whether {@code machines} are all there are, not just those that changed
   * @param machines machines that are new or changed
   * @param removed names of machines that are gone; empty if the list is whole
   */
  record Listing(long version, boolean whole, List<Machine> machines, List<String> removed) {
    public Listing {
      machines = List.copyOf(machines);
      removed = List.copyOf(removed);
    }
  }

  /** What changed since {@code knownVersion}; the whole list if that is negative or too old. */
  Uni<Listing> fetch(long knownVersion);
}
