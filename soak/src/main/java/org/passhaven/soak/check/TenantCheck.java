package org.passhaven.soak.check;

import java.util.Set;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.TenantSeen;
import org.passhaven.platform.standin.net.Tenants;

/** {@link Promise#TENANT_TRUE}: a request runs for the tenant of its caller's key, unshown. */
final class TenantCheck {
  private TenantCheck() {}

  static void judge(Evidence evidence, Tally tally) {
    Set<String> requests =
        evidence.all(RequestSent.class).map(RequestSent::id).collect(Collectors.toSet());
    evidence
        .all(TenantSeen.class)
        .forEach(
            seen -> {
              String expected = expected(seen, requests);
              tally.check(
                  seen.tenant().equals(expected) && !seen.keyShown(),
                  seen.atMillis(),
                  "",
                  seen.id(),
                  () ->
                      "runs for \""
                          + seen.tenant()
                          + "\" instead of \""
                          + expected
                          + "\", key shown: "
                          + seen.keyShown());
            });
  }

  /** Items run for the tenant of all jobs, calls that score them for none. */
  private static String expected(TenantSeen seen, Set<String> requests) {
    if (seen.isItem()) {
      return Tenants.TRAINERS;
    }
    return requests.contains(seen.id()) ? Tenants.ofRequest(seen.id()) : "";
  }
}
