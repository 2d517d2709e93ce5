package org.passhaven.simulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.passhaven.simulator.fault.Fault;

/** Makes a failing list of faults shorter while it still fails. */
public final class Shrinker {
  private Shrinker() {}

  /** A list from which no single fault can be left out without the failure going away. */
  public static List<Fault> shrink(List<Fault> failing, Predicate<List<Fault>> fails) {
    List<Fault> current = List.copyOf(failing);
    boolean shorter = true;
    while (shorter) {
      shorter = false;
      for (int index = 0; index < current.size() && !shorter; index++) {
        List<Fault> without = new ArrayList<>(current);
        without.remove(index);
        if (fails.test(without)) {
          current = List.copyOf(without);
          shorter = true;
        }
      }
    }
    return current;
  }
}
