package org.passhaven.core.configuration;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/**
 * Rate limit of one caller, identified by the header {@code Passhaven-Caller}.
 *
 * @param requestsPerSecond sustained rate over the whole fleet
 * @param burst number of requests allowed at once above the rate
 */
public record CallerSettings(
    @Min(1) @Max(1_000_000) int requestsPerSecond, @Min(1) @Max(1_000_000) int burst) {}
