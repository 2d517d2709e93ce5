package org.passhaven.soak.check;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.RequestObservation.FloodBegun;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.net.Tenants;

/**
 * {@link Promise#NO_TENANT_STARVED}: no other tenant is starved during a flood. Each attempt counts
 * as a request of its own.
 */
final class TenantShareCheck {
  /**
   * A tenant is starved, by the users' rules, below this part of the served share of all requests.
   */
  private static final double STARVED_PART_OF_SHARE = 0.25;

  /** Fewest requests of which a share is compared. */
  private static final int MIN_REQUESTS = 10;

  private static final int OK = 200;

  private final Evidence evidence;
  private final Set<String> served;
  private final Set<String> slow;

  private TenantShareCheck(Evidence evidence) {
    this.evidence = evidence;
    this.slow = SlowReaderChecks.ids(evidence);
    this.served =
        evidence
            .all(RequestAnswered.class)
            .filter(answer -> answer.status() == OK)
            .map(RequestAnswered::id)
            .collect(Collectors.toSet());
  }

  /** Checks all floods. */
  static void judge(Evidence evidence, Tally tally) {
    TenantShareCheck check = new TenantShareCheck(evidence);
    evidence.all(FloodBegun.class).forEach(flood -> check.check(flood, tally));
  }

  private void check(FloodBegun flood, Tally tally) {
    List<RequestSent> sent =
        evidence
            .all(RequestSent.class)
            .filter(request -> !slow.contains(request.id()))
            .filter(request -> isDuring(flood, request.atMillis()))
            .filter(
                request ->
                    evidence
                        .touch()
                        .isInTouch(
                            request.node(),
                            request.atMillis(),
                            request.atMillis() + request.deadlineMillis()))
            .toList();
    Map<String, List<RequestSent>> byTenant =
        sent.stream().collect(Collectors.groupingBy(each -> Tenants.ofRequest(each.id())));
    double shareOfAll = share(sent);
    byTenant.forEach(
        (tenant, own) -> {
          if (!tenant.equals(flood.tenant()) && own.size() >= MIN_REQUESTS) {
            double share = share(own);
            tally.check(
                share >= STARVED_PART_OF_SHARE * shareOfAll,
                flood.atMillis(),
                "",
                tenant,
                () ->
                    "%.0f of 100 of its %d requests were served while %s flooded, %.0f of all %d"
                        .formatted(
                            100 * share,
                            own.size(),
                            flood.tenant(),
                            100 * shareOfAll,
                            sent.size()));
          }
        });
  }

  private static boolean isDuring(FloodBegun flood, long millis) {
    return millis >= flood.atMillis() && millis < flood.atMillis() + flood.forMillis();
  }

  private double share(List<RequestSent> sent) {
    long answered = sent.stream().filter(each -> served.contains(each.id())).count();
    return sent.isEmpty() ? 0 : (double) answered / sent.size();
  }
}
