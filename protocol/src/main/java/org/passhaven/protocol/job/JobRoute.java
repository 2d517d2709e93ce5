package org.passhaven.protocol.job;

import java.util.List;

/**
 * Settings of a job's route when the job was accepted. They let any node run the job after the
 * route has left the configuration.
 *
 * @param shares services that generate the texts, with their weights
 * @param maxServerErrors number of 500 responses at which an item is abandoned
 * @param singleVersion whether a single weight version must generate all of a text
 * @param priority priority of the job; 0 is the highest
 * @param giveUpMillis age of the job at which its items without a complete text are abandoned; zero
 *     for never
 * @param regions regions in which the texts may be generated; null if all are allowed
 */
public record JobRoute(
    List<Share> shares,
    int maxServerErrors,
    boolean singleVersion,
    int priority,
    long giveUpMillis,
    List<String> regions) {
  /** Weight of a service in the distribution of the items. */
  public record Share(String service, long weight) {}

  public JobRoute {
    shares = List.copyOf(shares);
    regions = regions == null ? null : List.copyOf(regions);
  }
}
