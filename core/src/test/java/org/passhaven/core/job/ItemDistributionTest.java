package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;

/** Guards against items that do not follow the weights of a split route. */
class ItemDistributionTest {
  private static final List<ServiceShare> TEN_TO_NINETY = shares(10, 90);

  private static List<ServiceShare> shares(long a, long b) {
    return List.of(new ServiceShare("a", a), new ServiceShare("b", b));
  }

  private static JobSubmission job(String id, int items) {
    List<JobItem> requests = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      requests.add(
          new JobItem(id + "-" + i, "/p/" + i, List.of(), new byte[0], "g" + i / 4, 0, null));
    }
    return new JobSubmission(id, "h", "/p/", "", "r", "m", 0, 1, 1, requests);
  }

  private static Map<String, String> serviceByItem(JobSubmission job, List<ServiceShare> shares) {
    return ItemDistribution.serviceByItem(job.id(), job.items(), shares);
  }

  private static long countOf(String service, Map<String, String> services) {
    return services.values().stream().filter(service::equals).count();
  }

  /** Guards against a share that is off by more than one item in any job. */
  @Test
  void theShareOfEachJobIsWithinOneItemOfTheWeights() {
    for (int i = 0; i < 100; i++) {
      Map<String, String> services = serviceByItem(job("j" + i, 72), TEN_TO_NINETY);
      assertThat(countOf("a", services), anyOf(equalTo(7L), equalTo(8L)));
    }
  }

  /** Guards against rounding that always favors the same service. */
  @Test
  void smallJobsFollowTheWeightsInTotal() {
    long atFirst = 0;
    for (int i = 0; i < 1_000; i++) {
      atFirst += countOf("a", serviceByItem(job("j" + i, 4), TEN_TO_NINETY));
    }
    assertThat(atFirst / 4_000.0, closeTo(0.1, 0.02));
  }

  /** Guards against a prompt that is read at more servers than the weights require. */
  @Test
  void atMostOneGroupIsSplitBetweenTwoServices() {
    JobSubmission job = job("j", 72);
    Map<String, String> services = serviceByItem(job, TEN_TO_NINETY);
    long split =
        job.items().stream()
            .map(JobItem::group)
            .distinct()
            .filter(
                group ->
                    job.items().stream()
                            .filter(item -> item.group().equals(group))
                            .map(item -> services.get(item.id()))
                            .distinct()
                            .count()
                        > 1)
            .count();
    assertThat(split, lessThanOrEqualTo(1L));
  }

  /** Guards against new weights that move items between services without need. */
  @Test
  void newWeightsMoveOnlyTheDifference() {
    JobSubmission job = job("j", 100);
    Map<String, String> before = serviceByItem(job, TEN_TO_NINETY);
    Map<String, String> after = serviceByItem(job, shares(20, 80));
    long moved =
        before.entrySet().stream()
            .filter(entry -> !after.get(entry.getKey()).equals(entry.getValue()))
            .count();
    assertThat(moved, equalTo(10L));
  }

  /** Guards against servers that are ordered for the items of the other part of a split route. */
  @Test
  void theDemandOfAServiceIsItsShareOfTheItems() {
    Route route =
        new Route(
            "r", "h", "/p/", shares(25, 75), Route.Kind.JOBS, 0, 0, 3, true, false, 0, 0, true);
    RouteTable routes = new RouteTable(1, List.of(route), RequestLimits.DEFAULT, TenantTable.NONE);
    List<Job> jobs = List.of(new Job(job("j", 40), 0), new Job(job("k", 40), 0));
    assertThat(JobDemand.openItems(jobs, Set.of("m"), routes, "a"), equalTo(20));
    assertThat(JobDemand.openItems(jobs, Set.of("m"), routes, "b"), equalTo(60));
    assertThat(JobDemand.openItems(jobs, Set.of("m"), routes, "c"), equalTo(0));
    assertThat(JobDemand.openItems(jobs, Set.of("other"), routes, "a"), equalTo(0));
    assertThat(JobDemand.openItems(jobs, Set.of("m"), RouteTable.EMPTY, "a"), equalTo(80));
  }
}
