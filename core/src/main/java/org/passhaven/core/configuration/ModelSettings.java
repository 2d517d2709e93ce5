package org.passhaven.core.configuration;

import jakarta.validation.constraints.NotBlank;

/**
 * A model and the engines that serve it.
 *
 * @param engineGroup group of engines in the platform's machine list
 */
public record ModelSettings(@NotBlank String engineGroup) {}
