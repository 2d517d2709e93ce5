package org.passhaven.core.backend;

/**
 * Load and speed of a server, from this node's own requests and from other nodes' reports.
 *
 * @param placesTaken requests of all nodes at the server, this node's included
 * @param relativePace time of the same work relative to the median server of its service; 1 if
 *     unknown
 * @param ageMillis age of the oldest report that went into it
 */
public record ServerEstimate(int placesTaken, double relativePace, long ageMillis) {
  /** Estimate of a server of which nothing is known. */
  public static final ServerEstimate UNKNOWN = new ServerEstimate(0, 1, Long.MAX_VALUE);
}
