package org.passhaven.core.admission;

import java.util.Objects;

/**
 * What the decision on a request's admission rests on.
 *
 * @param id unique among the requests of this node
 * @param service service whose servers are to run it
 * @param route its route: requests of one route take about as long as each other
 * @param tenant for whom it runs; empty where there are no tenants
 * @param source who asks
 * @param priority rank of the tenant, or else of the route, 0 first
 * @param deadlineMillis when the caller stops waiting, in monotonic milliseconds
 */
public record AdmissionRequest(
    long id,
    String service,
    String route,
    String tenant,
    Source source,
    int priority,
    long deadlineMillis) {
  /** Who asks for an answer, the one that is served first before the other. */
  public enum Source {
    /** A caller that holds a connection open. */
    CALLER,
    /** A job whose finished text is to be scored. */
    SCORING
  }

  public AdmissionRequest {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(tenant, "tenant");
    Objects.requireNonNull(source, "source");
  }
}
