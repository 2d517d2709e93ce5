package org.passhaven.soak.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.plan.ProcessHarm;
import org.passhaven.soak.plan.StoreHarm;

/**
 * The faults in force. Where several concern the same thing the newest holds, and the thing is
 * sound again when the last of them has ended. Used by one thread.
 */
final class ActiveFaults {
  private final Hands hands;
  private final Map<Integer, Integer> downCounts = new HashMap<>();
  private final Map<Integer, Integer> frozenCounts = new HashMap<>();
  private final Map<LinkEnd, List<LinkHarm>> links = new HashMap<>();
  private final Map<Integer, List<StoreHarm>> stores = new HashMap<>();

  private final Map<Integer, List<Double>> paces = new HashMap<>();

  private record LinkEnd(LinkKind link, int target) {}

  ActiveFaults(Hands hands) {
    this.hands = hands;
  }

  /** A fault begins. With {@link ProcessHarm#TERMINATE} its end follows when a process is gone. */
  void begin(Fault fault) {
    if (fault instanceof Fault.OnLink onLink) {
      onLink.targets().forEach(target -> beginLink(onLink, target));
    } else if (fault instanceof Fault.OnProcess onProcess) {
      onProcess.nodes().forEach(node -> beginProcess(onProcess.harm(), node));
    } else if (fault instanceof Fault.OnStore onStore) {
      beginStore(onStore);
    } else if (fault instanceof Fault.OnBackEnd on) {
      hands.harmBackEnd(on.backEnd(), on.harm(), on.forMillis());
    } else if (fault instanceof Fault.CrashWave wave) {
      wave.backEnds().forEach(backEnd -> hands.crash(backEnd, wave.forMillis(), wave.isReset()));
    } else if (fault instanceof Fault.UnevenBackEnd on) {
      paces.computeIfAbsent(on.backEnd(), key -> new ArrayList<>()).add(on.factor());
      hands.pace(on.backEnd(), on.factor());
    } else if (fault instanceof Fault.OnCallers on) {
      hands.harmCallers(on.harm(), on.forMillis());
    } else if (fault instanceof Fault.OnRequest on) {
      hands.harmRequest(on.harm());
    } else if (fault instanceof Fault.ColdRestart on) {
      hands.harmBackEnd(on.backEnd(), BackEndHarm.CRASH, on.forMillis());
    } else if (fault instanceof Fault.Evacuation on) {
      hands.evacuate(on.zone());
    } else if (fault instanceof Fault.SecondAnswers on) {
      hands.stutter(on);
    } else if (fault instanceof Fault.BrokenAnswers on) {
      hands.harmAnswers(on);
    } else if (fault instanceof Fault.Change change) {
      hands.change(change.change(), change.backEnd());
    }
  }

  /** A fault ends. */
  void end(Fault fault) {
    if (fault instanceof Fault.OnLink onLink && !onLink.harm().isAtOnce()) {
      onLink.targets().forEach(target -> endLink(onLink.link(), target, onLink.harm()));
    } else if (fault instanceof Fault.OnProcess onProcess) {
      onProcess.nodes().forEach(node -> endProcess(onProcess.harm(), node));
    } else if (fault instanceof Fault.OnStore onStore && !isAtOnce(onStore.harm())) {
      storeNodes(onStore).forEach(node -> endStore(node, onStore.harm()));
    } else if (fault instanceof Fault.OnBackEnd on) {
      hands.healBackEnd(on.backEnd(), on.harm());
    } else if (fault instanceof Fault.UnevenBackEnd on) {
      List<Double> left = paces.getOrDefault(on.backEnd(), List.of());
      left.remove(on.factor());
      hands.pace(on.backEnd(), newest(left).orElse(1.0));
    } else if (fault instanceof Fault.ColdRestart on) {
      hands.healBackEnd(on.backEnd(), BackEndHarm.CRASH);
    } else if (fault instanceof Fault.Evacuation on) {
      hands.endEvacuation(on.zone());
    } else if (fault instanceof Fault.SecondAnswers) {
      hands.endStutter();
    } else if (fault instanceof Fault.BrokenAnswers) {
      hands.endAnswerHarm();
    }
  }

  private void beginLink(Fault.OnLink fault, int target) {
    switch (fault.harm()) {
      case RESET -> hands.reset(fault.link(), target);
      case MUTE -> hands.mute(fault.link(), target);
      case DELAY, CUT_OUT, CUT_BACK, SILENCE -> beginLink(fault.link(), target, fault.harm());
    }
  }

  private void beginLink(LinkKind link, int target, LinkHarm harm) {
    links.computeIfAbsent(new LinkEnd(link, target), key -> new ArrayList<>()).add(harm);
    hands.link(link, target, Optional.of(harm));
  }

  private void endLink(LinkKind link, int target, LinkHarm harm) {
    List<LinkHarm> left = links.getOrDefault(new LinkEnd(link, target), List.of());
    left.remove(harm);
    hands.link(link, target, newest(left));
  }

  private void beginProcess(ProcessHarm harm, int node) {
    switch (harm) {
      case FREEZE -> {
        frozenCounts.merge(node, 1, Integer::sum);
        hands.freeze(node);
      }
      case SUSPEND -> {
        frozenCounts.merge(node, 1, Integer::sum);
        hands.suspend(node);
      }
      case TERMINATE -> downCounts.merge(node, 1, Integer::sum);
      case KILL -> kill(node);
      case POWER_LOSS -> {
        // What is on its way when the power goes neither arrives nor is answered.
        beginLink(LinkKind.STORE, node, LinkHarm.SILENCE);
        beginLink(LinkKind.CALLERS, node, LinkHarm.SILENCE);
        kill(node);
      }
    }
  }

  private void kill(int node) {
    downCounts.merge(node, 1, Integer::sum);
    hands.kill(node);
  }

  private void endProcess(ProcessHarm harm, int node) {
    switch (harm) {
      case FREEZE, SUSPEND -> {
        if (frozenCounts.merge(node, -1, Integer::sum) == 0) {
          hands.thaw(node);
        }
      }
      case TERMINATE, KILL -> up(node);
      case POWER_LOSS -> {
        hands.reset(LinkKind.STORE, node);
        hands.reset(LinkKind.CALLERS, node);
        endLink(LinkKind.STORE, node, LinkHarm.SILENCE);
        endLink(LinkKind.CALLERS, node, LinkHarm.SILENCE);
        up(node);
      }
    }
  }

  private void up(int node) {
    if (downCounts.merge(node, -1, Integer::sum) == 0) {
      hands.start(node);
    }
  }

  private void beginStore(Fault.OnStore fault) {
    if (isAtOnce(fault.harm())) {
      hands.storeOnce(fault.harm());
      return;
    }
    for (int node : storeNodes(fault)) {
      stores.computeIfAbsent(node, key -> new ArrayList<>()).add(fault.harm());
      hands.store(node, Optional.of(fault.harm()));
    }
  }

  private void endStore(int node, StoreHarm harm) {
    List<StoreHarm> left = stores.getOrDefault(node, List.of());
    left.remove(harm);
    hands.store(node, newest(left));
  }

  private static boolean isAtOnce(StoreHarm harm) {
    return harm == StoreHarm.FORGETS_HISTORY || harm == StoreHarm.DEALS_GROUPS_ANEW;
  }

  private static List<Integer> storeNodes(Fault.OnStore fault) {
    return fault.nodes().isEmpty() ? List.of(Hands.ALL) : fault.nodes();
  }

  private static <T> Optional<T> newest(List<T> left) {
    return left.isEmpty() ? Optional.empty() : Optional.of(left.get(left.size() - 1));
  }
}
