package org.passhaven.core.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.passhaven.core.tenant.AuthenticationResult.Admitted;
import org.passhaven.core.tenant.AuthenticationResult.Reason;
import org.passhaven.core.tenant.AuthenticationResult.Rejected;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Immutable lookup table of the tenants of one configuration by API key and by name; a lookup takes
 * constant time. Keys are secrets: they must not appear in messages or in {@link #toString}.
 */
public final class TenantTable {
  /** Table without tenants: no request needs a key. */
  public static final TenantTable NONE = new TenantTable(Map.of());

  private final Map<String, Tenant> byKey;
  private final Map<String, Tenant> byName = new HashMap<>();

  /** Creates a table of the tenants by key. */
  public TenantTable(Map<String, Tenant> byKey) {
    this.byKey = Map.copyOf(byKey);
    byKey.values().forEach(tenant -> byName.put(tenant.name(), tenant));
  }

  /** Returns whether the table has no tenants, so that requests need no key. */
  public boolean isEmpty() {
    return byKey.isEmpty();
  }

  /** Returns the number of tenants that have a key. */
  public int size() {
    return byName.size();
  }

  /**
   * Authenticates a request. A public request is always admitted, and runs for the tenant of its
   * key if there is one.
   *
   * @param isPublic whether the request needs no key
   * @param key key in the request; empty if there is not exactly one
   */
  public AuthenticationResult authenticate(boolean isPublic, Optional<String> key) {
    Tenant tenant = key.map(byKey::get).orElse(null);
    if (tenant != null) {
      return new Admitted(tenant.name());
    }
    if (isPublic || isEmpty()) {
      return new Admitted("");
    }
    return new Rejected(key.isEmpty() ? Reason.NO_KEY : Reason.UNKNOWN_KEY);
  }

  /**
   * Returns the priority of a tenant's requests; empty if the tenant has none or no longer has a
   * key.
   */
  public OptionalInt priorityOf(String tenant) {
    Tenant known = byName.get(tenant);
    return known == null ? OptionalInt.empty() : known.priority();
  }

  /**
   * Returns the regions in which a tenant's requests may be served and stored; unrestricted if the
   * tenant is unknown.
   */
  public RegionRestriction restrictionOf(String tenant) {
    Tenant known = byName.get(tenant);
    return known == null ? RegionRestriction.NONE : known.restriction();
  }

  @Override
  public String toString() {
    return "TenantTable[" + byName.size() + " tenants]";
  }
}
