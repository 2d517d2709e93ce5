package org.passhaven.cli;

import jakarta.validation.Valid;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import org.passhaven.emulator.http.EmulatorSettings;

/** Settings file of the emulated platform: a shipped site and how to run it. */
record EmulatorFile(@NotBlank String site, @NotNull @Valid EmulatorSettings emulator) {}
