package org.passhaven.core.route;

/** Limits on the size of callers' requests and the idle time of their connections. */
public record RequestLimits(long maxHeaderBytes, long maxBodyBytes, long maxIdleMillis) {
  /** Limits used if the configuration sets none. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 33_554_432, 15_000);
}
