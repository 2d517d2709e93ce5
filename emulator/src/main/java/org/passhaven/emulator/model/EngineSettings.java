package org.passhaven.emulator.model;

/**
 * How an engine stand-in behaves.
 *
 * @param capacity sequences that it runs at once
 * @param stepMillis time of a step with a full batch
 * @param tokensPerStep tokens for each sequence in a step
 * @param prefillTokensPerStep prompt tokens that a step takes in
 * @param promptTokens length of a prompt
 * @param cacheTokens prompt tokens that the prefix cache holds
 * @param swapMillis pause of all sequences for a swap of weights
 * @param reportLagMillis age of a load report
 */
public record EngineSettings(
    int capacity,
    long stepMillis,
    int tokensPerStep,
    int prefillTokensPerStep,
    int promptTokens,
    int cacheTokens,
    long swapMillis,
    long reportLagMillis) {}
