package org.passhaven.emulator.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.passhaven.spi.MachineList.Listing;
import org.passhaven.spi.MachineList.Machine;
import org.passhaven.spi.MachineList.State;

/** The platform's list of machines, seen with a lag, given out as changes. Thread-safe. */
public final class MachineListModel {
  private static final int CHANGES_KEPT = 1_000;

  /** One change: the machine as it is since then, or null if it is gone. */
  private record Change(long version, long atMillis, String id, Machine machine) {}

  private final long lagMillis;
  private final Map<String, Machine> machines = new TreeMap<>();
  private final Map<String, Machine> visible = new TreeMap<>();
  private final Deque<Change> upcoming = new ArrayDeque<>();
  private final Deque<Change> seen = new ArrayDeque<>();
  private long version;
  private long visibleVersion;

  /** Creates an empty list whose changes are seen {@code lagMillis} later. */
  public MachineListModel(long lagMillis) {
    this.lagMillis = lagMillis;
  }

  /** Adds or replaces machines. */
  public synchronized void put(Collection<Machine> added, long nowMillis) {
    added.forEach(machine -> change(machine.id(), machine, nowMillis));
  }

  /** Marks a machine as leaving. */
  public synchronized void setLeaving(String id, long nowMillis) {
    Machine m = machines.get(id);
    if (m != null) {
      change(
          id,
          new Machine(m.id(), m.kind(), m.group(), m.address(), m.zone(), State.LEAVING),
          nowMillis);
    }
  }

  /** Removes a machine. */
  public synchronized void remove(String id, long nowMillis) {
    change(id, null, nowMillis);
  }

  private void change(String id, Machine machine, long nowMillis) {
    if (machine == null) {
      machines.remove(id);
    } else {
      machines.put(id, machine);
    }
    version++;
    upcoming.add(new Change(version, nowMillis, id, machine));
  }

  /** What changed since a version, as seen now. */
  public synchronized Listing fetch(long knownVersion, long nowMillis) {
    refresh(nowMillis);
    boolean tooOld =
        seen.isEmpty()
            ? knownVersion < visibleVersion
            : knownVersion < seen.getFirst().version() - 1;
    if (knownVersion < 0 || tooOld) {
      return new Listing(visibleVersion, true, List.copyOf(visible.values()), List.of());
    }
    TreeSet<String> changed = new TreeSet<>();
    seen.stream()
        .filter(change -> change.version() > knownVersion)
        .forEach(change -> changed.add(change.id()));
    List<Machine> present = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (String id : changed) {
      if (visible.containsKey(id)) {
        present.add(visible.get(id));
      } else {
        removed.add(id);
      }
    }
    return new Listing(visibleVersion, false, present, removed);
  }

  private void refresh(long nowMillis) {
    while (!upcoming.isEmpty() && nowMillis - upcoming.getFirst().atMillis() >= lagMillis) {
      Change change = upcoming.poll();
      visibleVersion = change.version();
      if (change.machine() == null) {
        visible.remove(change.id());
      } else {
        visible.put(change.id(), change.machine());
      }
      seen.add(change);
      if (seen.size() > CHANGES_KEPT) {
        seen.poll();
      }
    }
  }
}
