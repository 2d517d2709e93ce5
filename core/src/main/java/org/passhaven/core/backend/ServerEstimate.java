package org.passhaven.core.backend;

/**
 * What a node knows of a server from itself and from others.
 *
 * @param placesTaken requests that nodes have there, this one's included
 * @param relativePace time that the same work takes there, against the middle server of its
 *     service; 1 where nothing is known
 * @param ageMillis age of the oldest figure that went into it
 */
public record ServerEstimate(int placesTaken, double relativePace, long ageMillis) {
  /** Nothing is known. */
  public static final ServerEstimate UNKNOWN = new ServerEstimate(0, 1, Long.MAX_VALUE);
}
