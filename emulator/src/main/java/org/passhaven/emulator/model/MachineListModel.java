package org.passhaven.emulator.model;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.passhaven.platform.MachineList.Listing;
import org.passhaven.platform.MachineList.Machine;
import org.passhaven.platform.MachineList.State;

/** The platform's list of machines, seen with a lag. Not thread-safe. */
public final class MachineListModel {
  private final long lagMillis;
  private final Map<String, Machine> machines = new TreeMap<>();
  private Listing visible = new Listing(0, true, java.util.List.of());
  private long version;
  private long changedAtMillis = Long.MIN_VALUE / 2;

  /** Creates an empty list whose changes are seen {@code lagMillis} later. */
  public MachineListModel(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  /** Adds or replaces machines. */
  public void put(Collection<Machine> added, long nowMillis) {
    refresh(nowMillis);
    added.forEach(machine -> machines.put(machine.id(), machine));
    changed(nowMillis);
  }

  /** Marks a machine as leaving. */
  public void setLeaving(String id, long nowMillis) {
    refresh(nowMillis);
    machines.computeIfPresent(
        id,
        (ignored, m) ->
            new Machine(m.id(), m.kind(), m.group(), m.address(), m.zone(), State.LEAVING));
    changed(nowMillis);
  }

  /** Removes a machine. */
  public void remove(String id, long nowMillis) {
    refresh(nowMillis);
    machines.remove(id);
    changed(nowMillis);
  }

  private void changed(long nowMillis) {
    version++;
    changedAtMillis = nowMillis;
  }

  /** The list as seen now, without its machines if the version is the known one. */
  public Listing fetch(long knownVersion, long nowMillis) {
    refresh(nowMillis);
    return visible.version() == knownVersion
        ? new Listing(knownVersion, false, java.util.List.of())
        : visible;
  }

  private void refresh(long nowMillis) {
    if (visible.version() != version && nowMillis - changedAtMillis >= lagMillis) {
      visible = new Listing(version, true, java.util.List.copyOf(machines.values()));
    }
  }
}
