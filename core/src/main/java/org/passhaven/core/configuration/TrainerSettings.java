package org.passhaven.core.configuration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;

/**
 * A trainer and how its samples are made.
 *
 * @param model name of a model document
 * @param stalenessBound most weight versions by which a delivered sample may be older than the
 *     trainer
 * @param shards number of shards that a step is split over
 * @param priority higher goes first on shared engines
 * @param objective what counts most for this trainer
 * @param scorer name of a service document that scores samples; empty for none
 */
public record TrainerSettings(
    @NotBlank String model,
    @NotNull @Min(0) @Max(1000) Integer stalenessBound,
    @Min(1) @Max(256) Integer shards,
    @Min(0) @Max(9) Integer priority,
    Objective objective,
    String scorer) {
  private static final int DEFAULT_SHARDS = 1;

  public TrainerSettings {
    shards = shards == null ? DEFAULT_SHARDS : shards;
    priority = priority == null ? 0 : priority;
    objective = objective == null ? Objective.IDLE_TIME : objective;
    scorer = scorer == null ? "" : scorer;
  }

  /** What a trainer weighs most. */
  public enum Objective {
    /** Begin the next step's samples as soon as engines are free. */
    IDLE_TIME,
    /** Begin them only once the weights that the step trains on are out. */
    STALENESS
  }
}
