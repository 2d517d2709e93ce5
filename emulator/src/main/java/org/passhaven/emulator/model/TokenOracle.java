package org.passhaven.emulator.model;

import net.openhft.hashing.LongHashFunction;

/**
 * What an engine truly generates: a function of prompt, seed, weight version and place, so that
 * anyone can tell which version made a token. Lengths are heavy-tailed and partly decided by the
 * prompt.
 */
public final class TokenOracle {
  private static final double SHORTEST = 40;
  private static final double TAIL_EXPONENT = 0.4;
  private static final int LONGEST = 2_000;
  private static final int VOCABULARY = 32_000;
  private static final double TWO_POW_53 = 9_007_199_254_740_992.0;
  private static final int UNIFORM_SHIFT = 11;

  private TokenOracle() {}

  /** Number of tokens of a whole sample. */
  public static int length(String prompt, long seed) {
    long promptHash = LongHashFunction.xx3().hashChars(prompt);
    double byPrompt = Math.pow(uniform(promptHash), -TAIL_EXPONENT / 2);
    double bySeed =
        Math.pow(uniform(LongHashFunction.xx3(promptHash).hashLong(seed)), -TAIL_EXPONENT);
    return (int) Math.min(LONGEST, SHORTEST * byPrompt * bySeed);
  }

  /** Token at a place of a sample. */
  public static int token(long promptHash, long seed, long version, int place) {
    long mixed = promptHash * 31 + seed * 1_000_003 + version * 8_191 + place;
    return (int) Math.floorMod(LongHashFunction.xx3().hashLong(mixed), (long) VOCABULARY);
  }

  /** Hash of a prompt, as {@link #token} takes it. */
  public static long hash(String prompt) {
    return LongHashFunction.xx3().hashChars(prompt);
  }

  private static double uniform(long hash) {
    return ((hash >>> UNIFORM_SHIFT) + 1) / TWO_POW_53;
  }
}
