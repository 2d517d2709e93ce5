package org.passhaven.simulator.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.passhaven.simulator.gateway.SimulatedServers.Server;
import org.passhaven.simulator.time.VirtualTime;

/**
 * Requests that crash each server that begins to run them, told by their paths, and what the system
 * owes there: once such a request has crashed three servers and everybody has had the time to learn
 * of it, nodes in touch may send it to servers three times more. Items never crash servers by
 * themselves: some servers in a row crash while they run one, and it is to begin again each time.
 */
public final class CrashingRequests {
  private static final long CRASH_MILLIS = 25;
  private static final int CRASHES_KNOWN = 3;
  private static final int MOST_SENT_AFTER = 3;
  private static final long CONTACT_MILLIS = 3_000;

  /** Servers that crash in a row while they run an item. */
  private static final int CRASHES_UNDER_ITEM = 5;

  /** Time at no server, in steady state, after which an item counts as left lying. */
  static final long BEGIN_AGAIN_MILLIS = 5_000;

  private static final class Seen {
    int crashes;
    int begun;
    int sentAfter;
    long thirdCrashMillis = Long.MAX_VALUE / 2;
  }

  private final VirtualTime time;
  private final GatewayChecker checker;
  private final Consumer<Server> crash;
  private final Predicate<String> isInTouch;
  private final Predicate<String> isOwed;
  private final Set<String> paths = new HashSet<>();
  private final Map<String, String> itemsByPath = new HashMap<>();
  private final Map<String, Seen> seenByPath = new HashMap<>();

  /**
   * Creates them; there are none at first.
   *
   * @param crash ends a server with all its connections, and starts it again later
   * @param isInTouch whether a node, by name, was undisturbed for the time of contact
   * @param isOwed whether an item, by id, is open and nothing was disturbed for the time of contact
   *     and {@link #BEGIN_AGAIN_MILLIS}
   */
  CrashingRequests(
      VirtualTime time,
      GatewayChecker checker,
      Consumer<Server> crash,
      Predicate<String> isInTouch,
      Predicate<String> isOwed) {
    this.time = time;
    this.checker = checker;
    this.crash = crash;
    this.isInTouch = isInTouch;
    this.isOwed = isOwed;
  }

  /** From now on requests with this path crash servers. */
  void add(String path) {
    paths.add(path);
  }

  /** From now on the next servers that run an item with this path crash. */
  void addItem(String path, String item) {
    itemsByPath.put(path, item);
  }

  /** Servers that such requests have crashed. */
  int crashes() {
    return seenByPath.values().stream().mapToInt(seen -> seen.crashes).sum();
  }

  /** A server has begun to run a request. */
  void onBegun(Server server, String path, String node) {
    if (paths.contains(path)) {
      onRequestBegun(server, path, node);
    } else if (itemsByPath.containsKey(path)) {
      onItemBegun(server, path);
    }
  }

  private Seen seen(String path) {
    return seenByPath.computeIfAbsent(path, key -> new Seen());
  }

  private void onRequestBegun(Server server, String path, String node) {
    Seen seen = seen(path);
    boolean isLate = time.nowMillis() > seen.thirdCrashMillis + CONTACT_MILLIS;
    if (isLate && isInTouch.test(node) && ++seen.sentAfter > MOST_SENT_AFTER) {
      checker.broken(
          path + " was sent to servers " + seen.sentAfter + " times after its third crash");
    }
    crashSoon(
        server,
        seen,
        () -> {
          if (seen.crashes == CRASHES_KNOWN) {
            seen.thirdCrashMillis = time.nowMillis();
          }
        });
  }

  private void onItemBegun(Server server, String path) {
    Seen seen = seen(path);
    seen.begun++;
    if (seen.crashes < CRASHES_UNDER_ITEM) {
      crashSoon(server, seen, () -> requireBeginning(path, seen, seen.begun));
    }
  }

  private void requireBeginning(String path, Seen seen, int begunBefore) {
    String item = itemsByPath.get(path);
    time.after(
        BEGIN_AGAIN_MILLIS * VirtualTime.MICROS_PER_MILLI,
        () -> {
          if (seen.begun == begunBefore && isOwed.test(item)) {
            checker.broken(
                item + " is left lying after " + seen.crashes + " crashes of servers under it");
          }
        });
  }

  private void crashSoon(Server server, Seen seen, Runnable whenCrashed) {
    int start = server.start;
    time.after(
        CRASH_MILLIS * VirtualTime.MICROS_PER_MILLI,
        () -> {
          if (server.start == start && !server.down) {
            seen.crashes++;
            whenCrashed.run();
            crash.accept(server);
          }
        });
  }
}
