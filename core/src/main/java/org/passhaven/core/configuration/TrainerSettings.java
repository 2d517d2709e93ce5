package org.passhaven.core.configuration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;

/**
 * Settings of a trainer: how its samples are generated and scored.
 *
 * @param model name of a model document
 * @param stalenessBound maximum number of weight versions by which a delivered sample may lag
 *     behind the trainer
 * @param shards number of shards that a step is split into
 * @param priority priority on shared engines; higher values go first
 * @param objective optimization goal of the trainer
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

  /** Optimization goal of a trainer. */
  public enum Objective {
    /** Minimize idle time: start the next step's samples as soon as engines are free. */
    IDLE_TIME,
    /**
     * Minimize staleness: start the next step's samples only after the weights that the step trains
     * on are published.
     */
    STALENESS
  }
}
