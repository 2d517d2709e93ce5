package org.passhaven.core.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.core.routing.EngineView;
import org.passhaven.protocol.ServerId;

/**
 * Schedules the rolling update of engines to a new weight version. The number of engines that swap
 * weights at once is limited, so that the group keeps serving; a failed swap is retried with
 * exponential backoff. An order counts as in flight until it is answered; an engine is ordered
 * again until its view shows the version. Performs no I/O. Not thread-safe.
 */
public final class VersionRollout {
  private static final long INITIAL_BACKOFF_MILLIS = 500;
  private static final long MAX_BACKOFF_MILLIS = 8_000;
  private static final long MAX_DEFERRAL_MILLIS = 6_000;
  private final int maxInFlight;
  private long lastTarget = Long.MIN_VALUE;
  private long targetSinceMillis;
  private final Set<ServerId> inFlight = new HashSet<>();
  private final Map<ServerId, Backoff> backoffs = new HashMap<>();

  /** Creates a rollout with at most {@code maxInFlight} orders in flight. */
  public VersionRollout(int maxInFlight) {
    this.maxInFlight = Math.max(1, maxInFlight);
  }

  /**
   * Chooses the engines to update to {@code target} now, those with the oldest version first, then
   * the least loaded, and counts them as in flight. A swap pauses generation, so engines in {@code
   * awaited}, which run samples that a trainer waits for, are deferred for a limited time.
   */
  public List<EngineView> plan(
      Collection<EngineView> engines, Set<ServerId> awaited, long target, long nowMillis) {
    if (target > lastTarget) {
      lastTarget = target;
      targetSinceMillis = nowMillis;
    }
    boolean mayWait = nowMillis - targetSinceMillis < MAX_DEFERRAL_MILLIS;
    List<EngineView> outdated =
        engines.stream()
            .filter(
                view -> view.usable() && view.version() < target && !inFlight.contains(view.id()))
            .filter(view -> isDue(view.id(), nowMillis))
            .filter(view -> !mayWait || !awaited.contains(view.id()))
            .sorted(
                Comparator.comparingLong(EngineView::version)
                    .thenComparing(EngineView::load)
                    .thenComparing(EngineView::id))
            .toList();
    List<EngineView> chosen = new ArrayList<>();
    for (EngineView view : outdated) {
      if (inFlight.size() >= maxInFlight) {
        break;
      }
      inFlight.add(view.id());
      chosen.add(view);
    }
    return chosen;
  }

  /**
   * Records the end of an order; {@code done} is whether the engine executed it. Otherwise it is
   * retried after a backoff.
   */
  public void onResponse(ServerId engine, boolean done, long nowMillis) {
    inFlight.remove(engine);
    if (done) {
      backoffs.remove(engine);
      return;
    }
    long delayMillis =
        backoffs.containsKey(engine)
            ? Math.min(MAX_BACKOFF_MILLIS, backoffs.get(engine).delayMillis() * 2)
            : INITIAL_BACKOFF_MILLIS;
    backoffs.put(engine, new Backoff(nowMillis + delayMillis, delayMillis));
  }

  private boolean isDue(ServerId engine, long nowMillis) {
    Backoff backoff = backoffs.get(engine);
    return backoff == null || nowMillis >= backoff.dueAtMillis();
  }

  private record Backoff(long dueAtMillis, long delayMillis) {}
}
