package org.passhaven.core.backend;

/**
 * Estimated load and speed of a server, derived from this node's requests and other nodes' reports.
 *
 * @param slotsInUse requests in progress at the server from all nodes, including this one
 * @param relativePace time for the same work relative to the median server of the service; 1 if
 *     unknown
 * @param ageMillis age of the oldest report used for the estimate
 */
public record ServerEstimate(int slotsInUse, double relativePace, long ageMillis) {
  /** Estimate for a server without any reports. */
  public static final ServerEstimate UNKNOWN = new ServerEstimate(0, 1, Long.MAX_VALUE);
}
