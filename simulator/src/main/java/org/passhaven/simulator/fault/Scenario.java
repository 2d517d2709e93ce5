package org.passhaven.simulator.fault;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/**
 * A scenario file: a site, a length, and faults. docs/OPERATIONS.md describes the format.
 *
 * @param name shown in reports
 * @param site name of a shipped site
 * @param steps training steps of each trainer
 * @param faults faults in any order
 * @param randomFaults number of faults drawn from the seed beside these
 * @param configurationPeriodMillis time between operators' applications; 0 for none
 */
public record Scenario(
    @NotBlank String name,
    @NotBlank String site,
    @Min(1) int steps,
    @NotNull List<@Valid @NotNull Fault> faults,
    @Min(0) int randomFaults,
    @Min(0) long configurationPeriodMillis) {
  public Scenario {
    faults = faults == null ? List.of() : List.copyOf(faults);
  }

  /** The same scenario with other faults. */
  public Scenario withFaults(List<Fault> others) {
    return new Scenario(name, site, steps, others, 0, configurationPeriodMillis);
  }
}
