package org.passhaven.core.job;

import java.util.Objects;

/**
 * What the configuration says of a job's route.
 *
 * @param service service that generates
 * @param maxServerErrors answers of 500 after which an item is given up
 * @param singleVersion whether a text must come from one weight version
 * @param priority rank of the route, 0 first
 * @param giveUpMillis age of a job at which its items are given up; zero for never
 */
public record JobPolicy(
    String service, int maxServerErrors, boolean singleVersion, int priority, long giveUpMillis) {
  public JobPolicy {
    Objects.requireNonNull(service, "service");
  }
}
