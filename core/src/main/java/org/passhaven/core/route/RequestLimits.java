package org.passhaven.core.route;

/** What a caller may send, in bytes, and how long its connection may rest, in milliseconds. */
public record RequestLimits(long mostHeaderBytes, long mostBodyBytes, long mostIdleMillis) {
  /** Limits while no configuration names others. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 33_554_432, 15_000);
}
