package org.passhaven.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Requests of one rank and source that wait, by start-time fair queueing among their tenants: each
 * turn goes to the tenant whose next request could have begun first had each been given its share.
 * Within a tenant the earliest deadline goes first. Not thread-safe.
 */
final class TenantQueues {
  private static final Comparator<AdmissionRequest> ORDER =
      Comparator.comparingLong(AdmissionRequest::deadlineMillis)
          .thenComparingLong(AdmissionRequest::id);
  private static final Comparator<Tenant> TURN =
      Comparator.<Tenant>comparingDouble(tenant -> tenant.start)
          .thenComparing(tenant -> tenant.waiting.first(), ORDER);

  private final Map<String, Tenant> tenants = new HashMap<>();
  private double virtualTime;
  private int size;

  private static final class Tenant {
    final TreeSet<AdmissionRequest> waiting = new TreeSet<>(ORDER);
    double start;
  }

  void add(AdmissionRequest request) {
    Tenant tenant = tenants.computeIfAbsent(request.tenant(), name -> new Tenant());
    if (tenant.waiting.isEmpty()) {
      // Who comes back after a pause has no claim on the turns that it did not ask for.
      tenant.start = Math.max(tenant.start, virtualTime);
    }
    tenant.waiting.add(request);
    size++;
  }

  /** Takes a request out without having served it. */
  void remove(AdmissionRequest request) {
    Tenant tenant = tenants.get(request.tenant());
    if (tenant != null && tenant.waiting.remove(request)) {
      size--;
      forgetIdle();
    }
  }

  /** Takes the request out whose turn it is; there must be one. */
  AdmissionRequest poll() {
    Tenant tenant =
        tenants.values().stream().filter(each -> !each.waiting.isEmpty()).min(TURN).orElseThrow();
    virtualTime = tenant.start;
    tenant.start++;
    size--;
    AdmissionRequest request = tenant.waiting.pollFirst();
    forgetIdle();
    return request;
  }

  /** Tenants that have nothing here and no turn ahead of the others are not kept. */
  private void forgetIdle() {
    tenants.values().removeIf(each -> each.waiting.isEmpty() && each.start <= virtualTime);
  }

  /** How many waiting requests have their turn before this one would. */
  int ahead(AdmissionRequest request) {
    Tenant own = tenants.get(request.tenant());
    int ownAhead = own == null ? 0 : own.waiting.headSet(request).size();
    int othersAhead =
        tenants.entrySet().stream()
            .filter(each -> !each.getKey().equals(request.tenant()))
            .mapToInt(each -> Math.min(each.getValue().waiting.size(), ownAhead + 1))
            .sum();
    return ownAhead + othersAhead;
  }

  /** The request with the latest deadline of the tenant that has most; there must be one. */
  AdmissionRequest lastOfLongest() {
    return tenants.values().stream()
        .max(Comparator.comparingInt(tenant -> tenant.waiting.size()))
        .orElseThrow()
        .waiting
        .last();
  }

  Stream<AdmissionRequest> all() {
    return tenants.values().stream().flatMap(tenant -> tenant.waiting.stream());
  }

  int size() {
    return size;
  }
}
