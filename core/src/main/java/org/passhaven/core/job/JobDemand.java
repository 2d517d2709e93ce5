package org.passhaven.core.job;

import java.util.Collection;
import java.util.Set;
import org.passhaven.core.route.RouteTable;

/** Tells how many items of jobs the servers of a service are expected to run. */
public final class JobDemand {
  private JobDemand() {}

  /**
   * Returns the number of items without a result that a service is expected to run: its share of
   * each job whose model its servers hold. Jobs whose route isn't known count as a whole.
   */
  public static int openItems(
      Collection<Job> jobs, Set<String> models, RouteTable routes, String service) {
    double items = 0;
    for (Job job : jobs) {
      if (models.contains(job.submission().model())) {
        items += job.openItemCount() * shareOf(job, routes, service);
      }
    }
    return (int) Math.ceil(items);
  }

  /** Returns the share of a job's items that a service runs, from 0 to 1. */
  public static double shareOf(Job job, RouteTable routes, String service) {
    return JobRoutes.policyOf(job.submission(), routes)
        .map(policy -> policy.shareOf(service))
        .orElse(1.0);
  }
}
