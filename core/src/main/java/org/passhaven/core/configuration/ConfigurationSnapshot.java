package org.passhaven.core.configuration;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Immutable snapshot of the whole configuration at one revision.
 *
 * @param revision number of accepted changes
 * @param trainers trainer settings by name
 * @param models model settings by name
 * @param services service settings by name
 * @param callers caller settings by name
 */
public record ConfigurationSnapshot(
    long revision,
    NavigableMap<String, TrainerSettings> trainers,
    NavigableMap<String, ModelSettings> models,
    NavigableMap<String, ServiceSettings> services,
    NavigableMap<String, CallerSettings> callers) {
  /** The empty configuration, before any change was applied. */
  public static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(
          0, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

  public ConfigurationSnapshot {
    trainers = copy(trainers);
    models = copy(models);
    services = copy(services);
    callers = copy(callers);
  }

  /** Returns the engine group that serves a trainer's model. */
  public Optional<String> engineGroupOf(String trainer) {
    return Optional.ofNullable(trainers.get(trainer))
        .map(settings -> models.get(settings.model()))
        .map(ModelSettings::engineGroup);
  }

  private static <T> NavigableMap<String, T> copy(Map<String, T> map) {
    return java.util.Collections.unmodifiableNavigableMap(new TreeMap<>(map));
  }
}
