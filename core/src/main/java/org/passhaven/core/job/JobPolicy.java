package org.passhaven.core.job;

import java.util.List;
import java.util.Objects;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Settings of the route of a job.
 *
 * @param shares services whose servers generate the texts, with their weights; those of weight zero
 *     are left out unless all have it, in which case the first one generates all texts
 * @param maxServerErrors number of 500 responses at which an item is abandoned
 * @param singleVersion whether a single weight version must generate all of a text
 * @param priority priority of the route; 0 is the highest
 * @param giveUpMillis age of a job at which its items without a complete text are abandoned; zero
 *     for never
 * @param restriction regions in which the texts may be generated
 */
public record JobPolicy(
    List<ServiceShare> shares,
    int maxServerErrors,
    boolean singleVersion,
    int priority,
    long giveUpMillis,
    RegionRestriction restriction) {
  public JobPolicy {
    shares = withPositiveWeight(shares);
    Objects.requireNonNull(restriction, "restriction");
  }

  /** Creates the settings of a job of one service whose texts may be generated in all regions. */
  public JobPolicy(
      String service, int maxServerErrors, boolean singleVersion, int priority, long giveUpMillis) {
    this(
        List.of(new ServiceShare(service, 1)),
        maxServerErrors,
        singleVersion,
        priority,
        giveUpMillis,
        RegionRestriction.NONE);
  }

  private static List<ServiceShare> withPositiveWeight(List<ServiceShare> shares) {
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("a job's route must have a service");
    }
    List<ServiceShare> positive = shares.stream().filter(share -> share.weight() > 0).toList();
    return positive.isEmpty() ? List.of(shares.get(0)) : positive;
  }

  /** Returns the share of the items that a service gets by its weight, from 0 to 1. */
  double shareOf(String service) {
    if (shares.size() == 1) {
      return shares.get(0).service().equals(service) ? 1 : 0;
    }
    double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
    double own =
        shares.stream()
            .filter(share -> share.service().equals(service))
            .mapToDouble(ServiceShare::weight)
            .sum();
    return own / total;
  }

  /** Returns the services whose servers generate the texts. */
  List<String> services() {
    return shares.stream().map(ServiceShare::service).distinct().toList();
  }
}
