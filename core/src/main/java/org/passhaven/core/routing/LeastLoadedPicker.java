package org.passhaven.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.protocol.ServerId;

/**
 * Picks the engine with the largest free fraction of its capacity, with a bonus for engines that
 * have the prompt's prefix cached or are in the local zone.
 */
public final class LeastLoadedPicker implements EnginePicker {
  private static final double LOCAL_ZONE_BONUS = 0.05;
  private static final double AFFINITY_BONUS = 0.25;
  private final List<EngineView> engines;
  private final Map<ServerId, Integer> assigned = new HashMap<>();
  private final String localZone;

  /** Creates a picker; engines in {@code localZone} are preferred at similar load. */
  public LeastLoadedPicker(Collection<EngineView> views, String localZone) {
    this.engines = new ArrayList<>(views);
    this.localZone = Objects.requireNonNull(localZone, "localZone");
  }

  @Override
  public Optional<EngineView> pick(long oldestVersion, ServerId affinity) {
    Optional<EngineView> chosen =
        engines.stream()
            .filter(view -> view.version() >= oldestVersion && freeCapacityOf(view) > 0)
            .max(
                Comparator.comparingDouble((EngineView view) -> score(view, affinity))
                    .thenComparing(EngineView::id));
    chosen.ifPresent(view -> assigned.merge(view.id(), 1, Integer::sum));
    return chosen;
  }

  private int freeCapacityOf(EngineView view) {
    return view.freeCapacity() - assigned.getOrDefault(view.id(), 0);
  }

  private double score(EngineView view, ServerId affinity) {
    double free = freeCapacityOf(view) / (double) view.capacity();
    double zone = view.zone().equals(localZone) ? LOCAL_ZONE_BONUS : 0;
    return free + zone + (view.id().equals(affinity) ? AFFINITY_BONUS : 0);
  }
}
