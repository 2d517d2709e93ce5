package org.passhaven.core.configuration;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The whole configuration at one revision. Immutable.
 *
 * @param revision number of accepted applications
 * @param trainers by name
 * @param models by name
 * @param services by name
 * @param callers by name
 */
public record ConfigurationImage(
    long revision,
    NavigableMap<String, TrainerSettings> trainers,
    NavigableMap<String, ModelSettings> models,
    NavigableMap<String, ServiceSettings> services,
    NavigableMap<String, CallerSettings> callers) {
  /** The configuration before any was applied. */
  public static final ConfigurationImage EMPTY =
      new ConfigurationImage(0, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

  public ConfigurationImage {
    trainers = copy(trainers);
    models = copy(models);
    services = copy(services);
    callers = copy(callers);
  }

  /** The engine group that serves a trainer's model. */
  public Optional<String> engineGroupOf(String trainer) {
    return Optional.ofNullable(trainers.get(trainer))
        .map(settings -> models.get(settings.model()))
        .map(ModelSettings::engineGroup);
  }

  private static <T> NavigableMap<String, T> copy(Map<String, T> map) {
    return java.util.Collections.unmodifiableNavigableMap(new TreeMap<>(map));
  }
}
