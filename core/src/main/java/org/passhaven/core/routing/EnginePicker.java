package org.passhaven.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.ServerId;

/**
 * Chooses engines for one round of dispatch over a fixed set of views. Counts what it hands out, so
 * that a round never overfills an engine. Not thread-safe; one picker a round.
 */
public final class EnginePicker {
  private static final double LOCAL_ZONE_BONUS = 0.05;
  private static final double AFFINITY_BONUS = 0.25;
  private final Map<ServerId, EngineView> engines = new HashMap<>();
  private final Map<ServerId, Integer> handedOut = new HashMap<>();
  private final String localZone;

  /** Creates a picker; engines in {@code localZone} are preferred at similar load. */
  public EnginePicker(Collection<EngineView> views, String localZone) {
    views.forEach(view -> engines.put(view.id(), view));
    this.localZone = Objects.requireNonNull(localZone, "localZone");
  }

  /**
   * The engine with most room among those that serve at least {@code oldestVersion}.
   *
   * @param affinity engine that holds the prompt's prefix, or null
   */
  public Optional<EngineView> pick(long oldestVersion, ServerId affinity) {
    Optional<EngineView> chosen =
        engines.values().stream()
            .filter(view -> view.version() >= oldestVersion)
            .filter(view -> roomOf(view) > 0)
            .max(
                Comparator.comparingDouble((EngineView view) -> attractiveness(view, affinity))
                    .thenComparing(EngineView::id));
    chosen.ifPresent(view -> handedOut.merge(view.id(), 1, Integer::sum));
    return chosen;
  }

  /** Whether any engine that serves at least {@code oldestVersion} has room. */
  public boolean hasRoom(long oldestVersion) {
    return engines.values().stream()
        .anyMatch(view -> view.version() >= oldestVersion && roomOf(view) > 0);
  }

  private int roomOf(EngineView view) {
    return view.room() - handedOut.getOrDefault(view.id(), 0);
  }

  private double attractiveness(EngineView view, ServerId affinity) {
    double free = roomOf(view) / (double) view.capacity();
    double bonus = view.zone().equals(localZone) ? LOCAL_ZONE_BONUS : 0;
    return free + bonus + (view.id().equals(affinity) ? AFFINITY_BONUS : 0);
  }
}
