package org.passhaven.emulator.http;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import java.util.List;

/**
 * Settings of an emulated platform.
 *
 * @param host address that all stand-ins listen on
 * @param basePort port of the log; the other stand-ins follow
 * @param timeScale by how much engines and trainers run faster than life
 * @param steps training steps of each trainer
 * @param nodes addresses of passhaven nodes, in the order of zones
 */
public record EmulatorSettings(
    @NotBlank String host,
    @Min(0) @Max(65_535) int basePort,
    @Min(1) @Max(100) int timeScale,
    @Min(1) int steps,
    long seed,
    @NotEmpty List<@NotBlank String> nodes) {}
