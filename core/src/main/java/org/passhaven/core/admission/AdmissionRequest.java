package org.passhaven.core.admission;

import java.util.Objects;

/**
 * Properties of a request on which its admission depends.
 *
 * @param id unique among the requests of this node
 * @param service service whose servers run the request
 * @param route route of the request; requests of one route take about equally long
 * @param tenant tenant that the request runs for; empty if there are no tenants
 * @param source sender of the request
 * @param priority priority of the tenant, or of the route if the tenant has none; 0 is the most
 *     urgent
 * @param deadlineMillis time at which the caller stops waiting, in monotonic milliseconds
 */
public record AdmissionRequest(
    long id,
    String service,
    String route,
    String tenant,
    Source source,
    int priority,
    long deadlineMillis) {
  /** Sender of a request; within one priority callers go before scorings. */
  public enum Source {
    /** A caller that holds a connection open. */
    CALLER,
    /** A job that has its finished text scored. */
    SCORING
  }

  public AdmissionRequest {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(tenant, "tenant");
    Objects.requireNonNull(source, "source");
  }
}
