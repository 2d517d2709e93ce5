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
 * Which engines to order to a new weight version, and when. At most a share of a group swaps at
 * once, so that the group keeps serving; a failed swap is tried again after a pause that doubles.
 * The engine's own report, not the answer to the order, says that it is done. Pure. Not
 * thread-safe.
 */
public final class VersionRollout {
  private static final long FIRST_RETRY_MILLIS = 500;
  private static final long MOST_RETRY_MILLIS = 8_000;
  private static final long MOST_DEFERRED_MILLIS = 6_000;
  private final int atOnce;
  private long lastTarget = Long.MIN_VALUE;
  private long targetSinceMillis;
  private final Set<ServerId> inFlight = new HashSet<>();
  private final Map<ServerId, Retry> retries = new HashMap<>();

  /** Creates a rollout with at most {@code atOnce} orders open. */
  public VersionRollout(int atOnce) {
    this.atOnce = Math.max(1, atOnce);
  }

  /**
   * Engines to order to {@code target} now: those furthest behind first, then the least loaded.
   * Counts them as in flight. A swap pauses the batch, so engines in {@code awaited}, which run
   * samples that a trainer waits for, come later, but not much later.
   */
  public List<EngineView> plan(
      Collection<EngineView> engines, Set<ServerId> awaited, long target, long nowMillis) {
    if (target > lastTarget) {
      lastTarget = target;
      targetSinceMillis = nowMillis;
    }
    boolean mayWait = nowMillis - targetSinceMillis < MOST_DEFERRED_MILLIS;
    List<EngineView> behind =
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
    for (EngineView view : behind) {
      if (inFlight.size() >= atOnce) {
        break;
      }
      inFlight.add(view.id());
      chosen.add(view);
    }
    return chosen;
  }

  /** An order was answered or lost. */
  public void onAnswer(ServerId engine, boolean done, long nowMillis) {
    inFlight.remove(engine);
    if (done) {
      retries.remove(engine);
      return;
    }
    long pause =
        retries.containsKey(engine)
            ? Math.min(MOST_RETRY_MILLIS, retries.get(engine).pauseMillis() * 2)
            : FIRST_RETRY_MILLIS;
    retries.put(engine, new Retry(nowMillis + pause, pause));
  }

  private boolean isDue(ServerId engine, long nowMillis) {
    Retry retry = retries.get(engine);
    return retry == null || nowMillis >= retry.dueAtMillis();
  }

  private record Retry(long dueAtMillis, long pauseMillis) {}
}
