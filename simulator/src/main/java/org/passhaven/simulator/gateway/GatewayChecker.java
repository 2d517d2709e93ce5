package org.passhaven.simulator.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.passhaven.protocol.job.ItemResult;

/** Sees all that servers and callers see, and notes each broken promise. */
public final class GatewayChecker {
  private static final int MOST_NOTED = 20;

  private record LastOrder(String machine, long fence, long atMillis) {}

  private final long handOverMillis;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, List<ItemResult>> resultsByJob = new HashMap<>();
  private final Map<String, LastOrder> lastOrderByServer = new HashMap<>();
  private int orders;
  private int handOvers;

  /** Creates a checker; orders of two machines must be {@code handOverMillis} apart. */
  public GatewayChecker(long handOverMillis) {
    this.handOverMillis = handOverMillis;
  }

  /** Notes a broken promise. */
  public void broken(String what) {
    if (violations.size() < MOST_NOTED) {
      violations.add(what);
    }
  }

  /** All broken promises, the first ones only if there are many. */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /** Orders that reached servers. */
  public int orders() {
    return orders;
  }

  /** Orders that came from another machine than the one before at the same server. */
  public int handOvers() {
    return handOvers;
  }

  /** An order reached a server. */
  public void onOrder(String server, String machine, long fence, long nowMillis) {
    orders++;
    LastOrder last = lastOrderByServer.put(server, new LastOrder(machine, fence, nowMillis));
    if (last == null) {
      return;
    }
    boolean other = !last.machine().equals(machine);
    if (fence < last.fence() || (other && fence == last.fence())) {
      broken("order at " + server + ": fence " + fence + " after " + last.fence());
    }
    if (other) {
      handOvers++;
      if (nowMillis - last.atMillis() < handOverMillis) {
        broken(
            "order at "
                + server
                + ": "
                + machine
                + " "
                + (nowMillis - last.atMillis())
                + " ms after "
                + last.machine());
      }
    }
  }

  /** Number of a job's results that callers have read. */
  int readResults(String job) {
    return resultsByJob.getOrDefault(job, List.of()).size();
  }

  /** A caller read results at a position. */
  public void onRead(String job, int from, List<ItemResult> results) {
    List<ItemResult> known = resultsByJob.computeIfAbsent(job, id -> new ArrayList<>());
    for (int i = 0; i < results.size(); i++) {
      int position = from + i;
      if (position < known.size()) {
        if (!known.get(position).equals(results.get(i))) {
          broken("job " + job + ": position " + position + " has changed");
        }
      } else if (position == known.size()) {
        known.add(results.get(i));
        checkResult(job, results.get(i));
      } else {
        broken("job " + job + ": position " + position + " came before an earlier one");
      }
    }
    long items = known.stream().map(ItemResult::item).distinct().count();
    if (items != known.size()) {
      broken("job " + job + ": an item stands at two positions");
    }
  }

  /** The text of {@link SimulatedServers} names item, event and version in each line. */
  private void checkResult(String job, ItemResult result) {
    if (!result.completed()) {
      return;
    }
    TreeSet<Long> versions = new TreeSet<>();
    String[] lines = result.text().split("\n", -1);
    for (int i = 0; i < lines.length; i++) {
      String[] parts = lines[i].split(":", -1);
      if (!parts[0].equals(result.item()) || Integer.parseInt(parts[1]) != i + 1) {
        broken("job " + job + ": line " + i + " of " + result.item() + " is " + lines[i]);
        return;
      }
      versions.add(Long.parseLong(parts[2]));
    }
    if (lines.length != SimulatedServers.eventsOf(result.item())) {
      broken("job " + job + ": " + result.item() + " has " + lines.length + " events");
    }
    if (!List.copyOf(versions).equals(result.versions())) {
      broken("job " + job + ": versions " + result.versions() + " of " + versions);
    }
    if (!result.score().equals("score-of-" + result.item())) {
      broken("job " + job + ": score " + result.score());
    }
  }
}
