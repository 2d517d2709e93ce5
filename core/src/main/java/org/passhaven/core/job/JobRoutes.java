package org.passhaven.core.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.protocol.job.JobRoute;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Finds the settings of a job's route: those of the configuration, or those with which the job was
 * accepted once its route has left the configuration.
 */
public final class JobRoutes {
  private JobRoutes() {}

  /** Returns a submission with the settings of its route, which are kept with the accepted job. */
  public static JobSubmission withRoute(JobSubmission submission, RouteTable routes) {
    return find(submission, routes)
        .map(route -> submission.withRoute(toJobRoute(route, submission, routes)))
        .orElse(submission);
  }

  private static JobRoute toJobRoute(Route route, JobSubmission submission, RouteTable routes) {
    Optional<Set<String>> regions = routes.restrictionOf(route, submission.tenant()).regions();
    return new JobRoute(
        route.shares().stream()
            .map(share -> new JobRoute.Share(share.service(), share.weight()))
            .toList(),
        Math.max(1, route.maxAttempts()),
        route.singleVersion(),
        routes.tenants().priorityOf(submission.tenant()).orElse(route.priority()),
        route.abandonAfterMillis(),
        regions.map(TreeSet::new).map(List::<String>copyOf).orElse(null));
  }

  /** Returns the settings under which a job is run; empty if neither has any. */
  public static Optional<JobPolicy> policyOf(JobSubmission submission, RouteTable routes) {
    return find(submission, routes)
        .map(route -> toJobRoute(route, submission, routes))
        .or(() -> Optional.ofNullable(submission.route()))
        .map(JobRoutes::toPolicy);
  }

  private static Optional<Route> find(JobSubmission submission, RouteTable routes) {
    return routes.find(submission.host(), submission.path());
  }

  private static JobPolicy toPolicy(JobRoute route) {
    return new JobPolicy(
        route.shares().stream()
            .map(share -> new ServiceShare(share.service(), share.weight()))
            .toList(),
        route.maxServerErrors(),
        route.singleVersion(),
        route.priority(),
        route.giveUpMillis(),
        route.regions() == null
            ? RegionRestriction.NONE
            : RegionRestriction.to(Set.copyOf(route.regions())));
  }
}
