package org.passhaven.core.run;

/**
 * Identifies one attempt at generating the sample of a slot.
 *
 * @param epoch lease epoch of the owner that started the attempt
 * @param step step number
 * @param slot index of the slot in the shard's part of the step
 * @param attempt number of the attempt, which increases across owners too
 */
public record AttemptId(long epoch, long step, int slot, int attempt) {}
