package org.passhaven.core.run;

/**
 * One try at generating a slot.
 *
 * @param epoch lease epoch of the owner that began it
 * @param step step number
 * @param slot slot in the shard's part of the step
 * @param attempt grows with each try at the slot, also across owners
 */
public record AttemptId(long epoch, long step, int slot, int attempt) {}
