package org.passhaven.core.configuration;

import jakarta.validation.constraints.NotBlank;

/**
 * Settings of a model: the engines that serve it.
 *
 * @param engineGroup engine group in the platform's machine list
 */
public record ModelSettings(@NotBlank String engineGroup) {}
