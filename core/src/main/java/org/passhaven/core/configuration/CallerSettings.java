package org.passhaven.core.configuration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/**
 * Limits of one caller, named by the header {@code Passhaven-Caller}.
 *
 * @param requestsPerSecond long-run rate over the whole fleet
 * @param burst requests at once over the rate
 */
public record CallerSettings(
    @Min(1) @Max(1_000_000) int requestsPerSecond, @Min(1) @Max(1_000_000) int burst) {}
