package org.passhaven.core.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.passhaven.core.tenant.Admission.Admitted;
import org.passhaven.core.tenant.Admission.Reason;
import org.passhaven.core.tenant.Admission.Rejected;

/**
 * Tenants of one configuration by their keys; immutable. A look-up takes the same time however many
 * there are. Keys are secrets: no message and no text of this class holds one.
 */
public final class TenantTable {
  /** No tenants: no request needs a key. */
  public static final TenantTable NONE = new TenantTable(Map.of());

  private final Map<String, Tenant> byKey;
  private final Map<String, Tenant> byName = new HashMap<>();

  /** Creates a table of tenants by key. */
  public TenantTable(Map<String, Tenant> byKey) {
    this.byKey = Map.copyOf(byKey);
    byKey.values().forEach(tenant -> byName.put(tenant.name(), tenant));
  }

  /** Whether requests need no key. */
  public boolean isEmpty() {
    return byKey.isEmpty();
  }

  /** Number of tenants that have a key. */
  public int size() {
    return byName.size();
  }

  /**
   * Whether a request is let in. A public one always is, and runs for the tenant whose key it shows
   * all the same, if there is one.
   *
   * @param isPublic whether it needs no key
   */
  public Admission admit(boolean isPublic, Optional<String> key) {
    Tenant tenant = key.map(byKey::get).orElse(null);
    if (tenant != null) {
      return new Admitted(tenant.name());
    }
    if (isPublic || isEmpty()) {
      return new Admitted("");
    }
    return new Rejected(key.isEmpty() ? Reason.NO_KEY : Reason.UNKNOWN_KEY);
  }

  /** Rank of a tenant's requests; empty if the tenant has none, or no key any more. */
  public OptionalInt priorityOf(String tenant) {
    Tenant known = byName.get(tenant);
    return known == null ? OptionalInt.empty() : known.priority();
  }

  @Override
  public String toString() {
    return "TenantTable[" + byName.size() + " tenants]";
  }
}
