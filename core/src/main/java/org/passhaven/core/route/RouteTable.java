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
import org.passhaven.core.tenant.TenantTable;

/** All routes of one configuration version; immutable. */
public final class RouteTable {
  /** No configuration yet. */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), RequestLimits.DEFAULT, TenantTable.NONE);

  private final long version;
  private final RequestLimits limits;
  private final TenantTable tenants;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Set<String> services = new HashSet<>();

  /** Creates the table of configuration {@code version}; zero stands for none. */
  public RouteTable(long version, List<Route> routes, RequestLimits limits, TenantTable tenants) {
    this.version = version;
    this.limits = limits;
    this.tenants = Objects.requireNonNull(tenants, "tenants");
    for (Route route : routes) {
      routesByHost.computeIfAbsent(hostKey(route.host()), key -> new ArrayList<>()).add(route);
      route.shares().forEach(share -> services.add(share.service()));
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  /** Version of the configuration; zero if none is known. */
  public long version() {
    return version;
  }

  /** What callers may send. */
  public RequestLimits limits() {
    return limits;
  }

  /** Who may call. */
  public TenantTable tenants() {
    return tenants;
  }

  /** Whether some route names a service; an entry of any other is no server to use. */
  public boolean names(String service) {
    return services.contains(service);
  }

  /** Number of routes. */
  public int size() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * The route with the longest prefix that begins the path.
   *
   * @param host as the caller names it, with or without a port
   * @param uri path, perhaps with a query
   */
  public Optional<Route> find(String host, String uri) {
    List<Route> routes = routesByHost.get(hostKey(host));
    if (routes == null) {
      return Optional.empty();
    }
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  private static String hostKey(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
