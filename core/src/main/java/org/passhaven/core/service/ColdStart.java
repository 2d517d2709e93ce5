package org.passhaven.core.service;

/**
 * Load limit of a server that has just started.
 *
 * @param coldMillis time after its start for which a server is cold
 * @param requestsPerSecond requests that a cold server can take from all nodes together
 */
public record ColdStart(long coldMillis, double requestsPerSecond) {
  public ColdStart {
    if (coldMillis < 0) {
      throw new IllegalArgumentException("cold time must not be negative, but is " + coldMillis);
    }
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "request rate of a cold server must be positive, but is " + requestsPerSecond);
    }
  }
}
