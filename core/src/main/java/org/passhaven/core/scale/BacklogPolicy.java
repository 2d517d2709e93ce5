package org.passhaven.core.scale;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Asks for more servers for two kinds of items only, since no others gain by a server that serves
 * after the lead time: those that the present servers, and those that boot, would not have finished
 * by then, and those that stay queued throughout the lead time, which no pulse of work explains.
 */
public final class BacklogPolicy implements CapacityPolicy {
  /** Filters out backlogs that end with the next reads of results. */
  private static final long SUSTAINED_MILLIS = 1_000;

  /** Limits the effect of a wrong estimate on one order. */
  private static final int MAX_GROWTH_FACTOR = 2;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  /** Queue lengths, ascending towards the newest; longer ones before a shorter one are dropped. */
  private final Deque<Sample> queue = new ArrayDeque<>();

  private long queueSinceMillis = NEVER_MILLIS;
  private long excessSinceMillis = NEVER_MILLIS;
  private long lastIncreaseMillis = NEVER_MILLIS;

  private record Sample(long atMillis, int items) {}

  @Override
  public int requiredServers(Load load, long nowMillis) {
    int present = load.servers() + load.comingServers();
    double itemsPerServer =
        load.itemsPerServerSecond() * Math.max(1, load.leadMillis()) / MILLIS_PER_SECOND;
    double excess =
        itemsPerServer > 0 ? Math.max(0, load.openItems() - present * itemsPerServer) : 0;
    int standing = standingQueue(load, nowMillis);
    if (excess <= 0) {
      excessSinceMillis = NEVER_MILLIS;
    } else if (excessSinceMillis == NEVER_MILLIS) {
      excessSinceMillis = nowMillis;
    }
    boolean isSustained = excess > 0 && nowMillis - excessSinceMillis >= SUSTAINED_MILLIS;
    double unserved = Math.max(isSustained ? excess : 0, standing);
    boolean hasLastIncreaseArrived = nowMillis - lastIncreaseMillis >= load.leadMillis();
    if (itemsPerServer <= 0 || unserved <= 0 || !hasLastIncreaseArrived) {
      return 0;
    }
    double needed = present + Math.ceil(unserved / itemsPerServer);
    return (int) Math.min(needed, (double) present * MAX_GROWTH_FACTOR);
  }

  /** Returns the least number of items that were queued at any time within the lead time. */
  private int standingQueue(Load load, long nowMillis) {
    int queued = Math.max(0, load.openItems() - load.slots());
    if (queueSinceMillis == NEVER_MILLIS) {
      queueSinceMillis = nowMillis;
    }
    while (!queue.isEmpty() && queue.peekLast().items() >= queued) {
      queue.removeLast();
    }
    queue.addLast(new Sample(nowMillis, queued));
    while (nowMillis - queue.peekFirst().atMillis() > load.leadMillis()) {
      queue.removeFirst();
    }
    return nowMillis - queueSinceMillis >= load.leadMillis() ? queue.peekFirst().items() : 0;
  }

  @Override
  public void onIncrease(long nowMillis) {
    lastIncreaseMillis = nowMillis;
    forgetLoad();
  }

  @Override
  public void onBlind() {
    forgetLoad();
  }

  /** Starts to observe the load anew. */
  private void forgetLoad() {
    queue.clear();
    queueSinceMillis = NEVER_MILLIS;
    excessSinceMillis = NEVER_MILLIS;
  }
}
