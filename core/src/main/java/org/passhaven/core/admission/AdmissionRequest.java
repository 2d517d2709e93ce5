package org.passhaven.core.admission;

import java.util.Objects;

/**
 * The properties of a request by which its admission is decided.
 *
 * @param id unique among the requests of this node
 * @param service service whose servers are to run it
 * @param route its route: requests of one route take about as long as each other
 * @param tenant for whom it runs; empty where there are no tenants
 * @param source who sends it
 * @param priority priority of the tenant, or else of the route; 0 goes first
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
  /** Who sends the request; within one priority the first value goes before the second. */
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
