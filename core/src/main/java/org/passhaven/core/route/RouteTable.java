package org.passhaven.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.passhaven.core.service.ServiceSpec;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Immutable lookup table of the routes of one configuration version by host and path prefix, with
 * the request limits and tenants of that version.
 */
public final class RouteTable {
  /** Table used before any configuration is loaded. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), RequestLimits.DEFAULT, TenantTable.NONE);

  private final long version;
  private final RequestLimits limits;
  private final TenantTable tenants;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Set<String> services = new HashSet<>();
  private final Map<String, ServiceSpec> specs;

  /** Creates the table of configuration {@code version}; zero if there is no configuration. */
  public RouteTable(long version, List<Route> routes, RequestLimits limits, TenantTable tenants) {
    this(version, routes, limits, tenants, Map.of());
  }

  /**
   * Creates the table of configuration {@code version}.
   *
   * @param specs properties of the services that the configuration describes, by name
   */
  public RouteTable(
      long version,
      List<Route> routes,
      RequestLimits limits,
      TenantTable tenants,
      Map<String, ServiceSpec> specs) {
    this.version = version;
    this.specs = Map.copyOf(specs);
    this.limits = limits;
    this.tenants = Objects.requireNonNull(tenants, "tenants");
    for (Route route : routes) {
      routesByHost
          .computeIfAbsent(normalizeHost(route.host()), key -> new ArrayList<>())
          .add(route);
      route.shares().forEach(share -> services.add(share.service()));
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  /** Returns the version of the configuration, or zero if there is none. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the tenants that may send requests. */
  public TenantTable tenants() {
    return tenants;
  }

  /** Returns whether any route uses a service; servers of other services are ignored. */
  public boolean usesService(String service) {
    return services.contains(service);
  }

  /** Returns the kinds of the routes that use a service. */
  public Set<Route.Kind> kindsOf(String service) {
    return routesByHost.values().stream()
        .flatMap(List::stream)
        .filter(route -> route.shares().stream().anyMatch(share -> share.service().equals(service)))
        .map(Route::kind)
        .collect(Collectors.toSet());
  }

  /** Returns the properties of a service. */
  public ServiceSpec service(String name) {
    return specs.getOrDefault(name, ServiceSpec.ofName(name));
  }

  /** Returns the services that the configuration describes, by name. */
  public Map<String, ServiceSpec> services() {
    return specs;
  }

  /** Returns the regions in which a tenant's request on a route may be served and stored. */
  public RegionRestriction restrictionOf(Route route, String tenant) {
    return route.restriction().and(tenants.restrictionOf(tenant));
  }

  /** Returns the number of routes. */
  public int size() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the route with the longest prefix that matches the path.
   *
   * @param host host sent by the caller, with or without a port
   * @param uri path with an optional query
   */
  public Optional<Route> find(String host, String uri) {
    List<Route> routes = routesByHost.get(normalizeHost(host));
    if (routes == null) {
      return Optional.empty();
    }
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  private static String normalizeHost(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
