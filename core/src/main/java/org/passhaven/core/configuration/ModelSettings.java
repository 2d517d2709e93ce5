package org.passhaven.core.configuration;

import jakarta.validation.constraints.NotBlank;

/**
 * Settings of a model: the model servers that serve it.
 *
 * @param engineGroup name of the group of these servers in the platform's machine list
 */
public record ModelSettings(@NotBlank String engineGroup) {}
