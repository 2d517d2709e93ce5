package org.passhaven.core.job;

import java.util.Objects;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Settings of the route of a job.
 *
 * @param service service whose servers generate the texts
 * @param maxServerErrors number of 500 responses at which an item is abandoned
 * @param singleVersion whether a single weight version must generate all of a text
 * @param priority priority of the route; 0 is the highest
 * @param giveUpMillis age of a job at which its items without a complete text are abandoned; zero
 *     for never
 * @param restriction regions in which the texts may be generated
 */
public record JobPolicy(
    String service,
    int maxServerErrors,
    boolean singleVersion,
    int priority,
    long giveUpMillis,
    RegionRestriction restriction) {
  public JobPolicy {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(restriction, "restriction");
  }

  /** Creates the settings of a job whose texts may be generated in all regions. */
  public JobPolicy(
      String service, int maxServerErrors, boolean singleVersion, int priority, long giveUpMillis) {
    this(service, maxServerErrors, singleVersion, priority, giveUpMillis, RegionRestriction.NONE);
  }
}
