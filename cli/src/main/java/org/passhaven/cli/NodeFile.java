package org.passhaven.cli;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import java.util.List;

/**
 * Settings file of a node; docs/CONFIGURATION.md describes it.
 *
 * @param node unique name
 * @param zone zone, as the machine list has it
 * @param address host and port to listen on and to be reached at
 * @param log address of the platform's log
 * @param machineList address of the platform's machine list
 * @param seeds peers asked first
 * @param mostBodyBytes largest body of a request
 * @param stopLimitMillis longest time of a planned stop
 */
record NodeFile(
    @NotBlank String node,
    @NotBlank String zone,
    @NotBlank String address,
    @NotBlank String log,
    @NotBlank String machineList,
    List<String> seeds,
    @Min(1) @Max(1_073_741_824) Long mostBodyBytes,
    @Min(1) @Max(3_600_000) Long stopLimitMillis) {
  static final long DEFAULT_MOST_BODY_BYTES = 16L << 20;
  static final long DEFAULT_STOP_LIMIT_MILLIS = 30_000;

  NodeFile {
    seeds = seeds == null ? List.of() : List.copyOf(seeds);
    mostBodyBytes = mostBodyBytes == null ? DEFAULT_MOST_BODY_BYTES : mostBodyBytes;
    stopLimitMillis = stopLimitMillis == null ? DEFAULT_STOP_LIMIT_MILLIS : stopLimitMillis;
  }
}
