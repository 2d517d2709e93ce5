package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.OperatorObservation.StoreFaultSet;

/**
 * Tells which nodes were in touch when: undisturbed for a while in their process, links and the
 * store. A process that ends by itself counts as undisturbed, as the rules say.
 */
final class TouchTable {
  /** The name under which a disturbance concerns all nodes. */
  static final String ALL = "";

  private static final String STORE_IS_UP = "Up";
  private static final String FIGURES = "[";
  private final long contactMillis;
  private final Map<String, List<Span>> spans = new HashMap<>();
  private final Map<String, Long> open = new HashMap<>();

  private record Span(long fromMillis, long untilMillis) {}

  private TouchTable(long contactMillis) {
    this.contactMillis = contactMillis;
  }

  static TouchTable of(List<Observation> observations, long contactMillis) {
    TouchTable table = new TouchTable(contactMillis);
    observations.forEach(table::see);
    // What has not ended by the end of the history lasts.
    List.copyOf(table.open.keySet()).forEach(key -> table.end(key, Long.MAX_VALUE));
    return table;
  }

  /** Whether the node was undisturbed from {@code contactMillis} before the time on until then. */
  boolean isInTouch(String node, long fromMillis, long untilMillis) {
    return isCalm(node, fromMillis - contactMillis, untilMillis);
  }

  /** Whether all of these nodes were in touch. */
  boolean areInTouch(List<String> nodes, long fromMillis, long untilMillis) {
    return nodes.stream().allMatch(node -> isInTouch(node, fromMillis, untilMillis));
  }

  /** Whether nothing disturbed the node in that time, nor all nodes. */
  boolean isCalm(String node, long fromMillis, long untilMillis) {
    return Stream.of(node, ALL)
        .flatMap(name -> spans.getOrDefault(name, List.of()).stream())
        .noneMatch(span -> span.fromMillis() <= untilMillis && span.untilMillis() >= fromMillis);
  }

  private void see(Observation observation) {
    if (observation instanceof ProcessEvent event) {
      see(event);
    } else if (observation instanceof LinkFaultSet set) {
      change(set.node(), "link " + set.link(), set.fault().isEmpty(), set.atMillis());
    } else if (observation instanceof StoreFaultSet set) {
      see(set);
    }
  }

  /** A fault that lasts is told with its figures in brackets; what happens at once is not. */
  private void see(StoreFaultSet set) {
    if (set.fault().contains(FIGURES)) {
      change(set.node(), "store", set.fault().startsWith(STORE_IS_UP), set.atMillis());
    } else {
      moment(set.node(), set.atMillis());
    }
  }

  private void see(ProcessEvent event) {
    long atMillis = event.atMillis();
    switch (event.happening()) {
      case STOP_ASKED, KILLED, PAUSED -> begin(key(event.node(), "process"), atMillis);
      case STARTED, CONTINUED -> {
        begin(key(event.node(), "process"), atMillis);
        end(key(event.node(), "process"), atMillis);
      }
      case SETTINGS_CHANGED -> moment(event.node(), atMillis);
      case READY, NOT_READY, ENDED, ENDED_UNASKED -> {}
    }
  }

  private void change(String node, String what, boolean isSound, long atMillis) {
    begin(key(node, what), atMillis);
    if (isSound) {
      end(key(node, what), atMillis);
    }
  }

  private void begin(String key, long atMillis) {
    open.putIfAbsent(key, atMillis);
  }

  private void end(String key, long atMillis) {
    Long fromMillis = open.remove(key);
    if (fromMillis != null) {
      add(key.substring(0, key.indexOf('\n')), fromMillis, atMillis);
    }
  }

  private void moment(String node, long atMillis) {
    add(node, atMillis, atMillis);
  }

  private void add(String node, long fromMillis, long untilMillis) {
    spans
        .computeIfAbsent(node, ignored -> new ArrayList<>())
        .add(new Span(fromMillis, untilMillis));
  }

  private static String key(String node, String what) {
    return node + "\n" + what;
  }
}
