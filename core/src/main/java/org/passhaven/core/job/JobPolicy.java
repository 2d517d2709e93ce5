package org.passhaven.core.job;

import java.util.Objects;

/**
 * Settings of the route of a job.
 *
 * @param service service whose servers generate the texts
 * @param maxServerErrors number of 500 responses at which an item is abandoned
 * @param singleVersion whether a single weight version must generate all of a text
 * @param priority priority of the route; 0 is the highest
 * @param giveUpMillis age of a job at which its items without a complete text are abandoned; zero
 *     for never
 */
public record JobPolicy(
    String service, int maxServerErrors, boolean singleVersion, int priority, long giveUpMillis) {
  public JobPolicy {
    Objects.requireNonNull(service, "service");
  }
}
