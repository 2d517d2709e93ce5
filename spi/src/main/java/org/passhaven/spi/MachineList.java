package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.List;

/** Client of the platform's list of live and leaving machines. The list is updated with a delay. */
public interface MachineList {
  /** What runs on a machine. */
  enum Kind {
    NODE,
    ENGINE,
    /** A server of a service. */
    SERVICE
  }

  /** Whether a machine stays in operation. */
  enum State {
    LIVE,
    LEAVING
  }

  /**
   * A machine in the list.
   *
   * @param group engine group or server group; empty for nodes
   * @param address host and port
   */
  record Machine(String id, Kind kind, String group, String address, String zone, State state) {}

  /**
   * The list at a version, either in full or as changes since the known version.
   *
   * @param whole whether {@code machines} is the full list rather than the changes
   * @param machines all machines, or those added or changed
   * @param removed ids of removed machines; empty if the list is full
   */
  record Listing(long version, boolean whole, List<Machine> machines, List<String> removed) {
    public Listing {
      machines = List.copyOf(machines);
      removed = List.copyOf(removed);
    }
  }

  /**
   * Fetches the changes since {@code knownVersion}, or the full list if that is negative or too
   * old.
   */
  Uni<Listing> fetch(long knownVersion);
}
