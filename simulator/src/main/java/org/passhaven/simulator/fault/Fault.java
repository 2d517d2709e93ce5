package org.passhaven.simulator.fault;

import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * One fault.
 *
 * @param atMillis when it begins, in virtual milliseconds
 * @param kind what happens
 * @param target index of the node, engine, server or zone; taken modulo their number
 * @param durationMillis how long it lasts
 * @param value probability, milliseconds or parts in a million, as the kind says
 */
public record Fault(
    @Min(0) long atMillis,
    @NotNull FaultKind kind,
    @Min(0) int target,
    @Min(0) long durationMillis,
    @Min(0) double value) {}
