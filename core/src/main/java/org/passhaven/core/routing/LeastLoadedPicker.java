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
 * Takes the engine with most room, an engine with the prompt's prefix or in the own zone first at
 * similar room.
 */
public final class LeastLoadedPicker implements EnginePicker {
  private static final double LOCAL_ZONE_BONUS = 0.05;
  private static final double AFFINITY_BONUS = 0.25;
  private final List<EngineView> engines;
  private final Map<ServerId, Integer> handedOut = new HashMap<>();
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
            .filter(view -> view.version() >= oldestVersion && roomOf(view) > 0)
            .max(
                Comparator.comparingDouble((EngineView view) -> attractiveness(view, affinity))
                    .thenComparing(EngineView::id));
    chosen.ifPresent(view -> handedOut.merge(view.id(), 1, Integer::sum));
    return chosen;
  }

  private int roomOf(EngineView view) {
    return view.room() - handedOut.getOrDefault(view.id(), 0);
  }

  private double attractiveness(EngineView view, ServerId affinity) {
    double free = roomOf(view) / (double) view.capacity();
    double zone = view.zone().equals(localZone) ? LOCAL_ZONE_BONUS : 0;
    return free + zone + (view.id().equals(affinity) ? AFFINITY_BONUS : 0);
  }
}
