package org.passhaven.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.core.placement.Rendezvous;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.protocol.job.JobItem;

/**
 * Distributes the items of a job over the services of its route. The number of items of a service
 * differs from its weight's share by less than one; the job's id decides which way, so that many
 * small jobs match the weights in total. The result depends on the job and the weights only: each
 * node that runs the job finds the same services, and new weights move as few items as possible.
 * Items of a group mostly have the same service, which reads their common prompt once.
 */
final class ItemDistribution {
  private static final String OFFSET_KEY = "offset";

  private ItemDistribution() {}

  /** Returns the service of each item, by item id. */
  static Map<String, String> serviceByItem(
      String job, Collection<JobItem> submitted, List<ServiceShare> shares) {
    List<JobItem> items =
        shares.size() == 1 ? List.copyOf(submitted) : inRandomOrder(job, submitted);
    double totalWeight = shares.stream().mapToDouble(ServiceShare::weight).sum();
    double offset = fraction(Rendezvous.weight(job, OFFSET_KEY));
    Map<String, String> services = new HashMap<>();
    for (int rank = 0; rank < items.size(); rank++) {
      double point = (rank + offset) / items.size() * totalWeight;
      services.put(items.get(rank).id(), serviceAt(point, shares));
    }
    return services;
  }

  /** Returns the items in an order that depends on the ids only and keeps groups together. */
  private static List<JobItem> inRandomOrder(String job, Collection<JobItem> items) {
    return items.stream()
        .sorted(
            Comparator.comparingLong((JobItem item) -> Rendezvous.weight(job, item.group()))
                .thenComparing(JobItem::group)
                .thenComparingLong(item -> Rendezvous.weight(job, item.id())))
        .toList();
  }

  /**
   * Returns the service in whose interval a point lies; the intervals are as long as the weights.
   */
  private static String serviceAt(double point, List<ServiceShare> shares) {
    double end = 0;
    for (ServiceShare share : shares) {
      end += share.weight();
      if (point < end) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive) from the upper 53 bits of a hash. */
  private static double fraction(long hash) {
    return (hash >>> 11) * 0x1p-53;
  }
}
