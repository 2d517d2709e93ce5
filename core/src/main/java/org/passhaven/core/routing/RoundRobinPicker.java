package org.passhaven.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.passhaven.protocol.ServerId;

/** Picks usable engines in round-robin order, regardless of their load. */
public final class RoundRobinPicker implements EnginePicker {
  private final List<EngineView> engines;
  private int next;

  /** Creates a picker that continues after {@code earlierPicks} picks. */
  public RoundRobinPicker(Collection<EngineView> views, int earlierPicks) {
    this.engines =
        views.stream()
            .filter(EngineView::usable)
            .sorted(Comparator.comparing(EngineView::id))
            .toList();
    this.next = earlierPicks;
  }

  @Override
  public Optional<EngineView> pick(long oldestVersion, ServerId affinity) {
    for (int tried = 0; tried < engines.size(); tried++) {
      EngineView view = engines.get(Math.floorMod(next++, engines.size()));
      if (view.version() >= oldestVersion) {
        return Optional.of(view);
      }
    }
    return Optional.empty();
  }
}
