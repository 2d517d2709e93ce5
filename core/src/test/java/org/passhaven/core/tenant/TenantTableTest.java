package org.passhaven.core.tenant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.passhaven.core.tenant.AuthenticationResult.Admitted;
import org.passhaven.core.tenant.AuthenticationResult.Reason;
import org.passhaven.core.tenant.AuthenticationResult.Rejected;

class TenantTableTest {
  private static final Tenant FIRST = new Tenant("first", OptionalInt.of(2));
  private static final Tenant SECOND = new Tenant("second", OptionalInt.empty());
  private final TenantTable table =
      new TenantTable(Map.of("key-1", FIRST, "key-2", FIRST, "key-3", SECOND));

  @Test
  void eachKeyOfATenantAuthenticatesTheTenant() {
    assertThat(table.authenticate(false, Optional.of("key-1")), equalTo(new Admitted("first")));
    assertThat(table.authenticate(false, Optional.of("key-2")), equalTo(new Admitted("first")));
    assertThat(table.authenticate(true, Optional.of("key-3")), equalTo(new Admitted("second")));
  }

  @Test
  void onlyPublicRequestsAreAdmittedWithoutAKnownKey() {
    assertThat(table.authenticate(false, Optional.empty()), equalTo(new Rejected(Reason.NO_KEY)));
    assertThat(
        table.authenticate(false, Optional.of("x")), equalTo(new Rejected(Reason.UNKNOWN_KEY)));
    assertThat(table.authenticate(true, Optional.empty()), equalTo(new Admitted("")));
    assertThat(table.authenticate(true, Optional.of("x")), equalTo(new Admitted("")));
  }

  @Test
  void requestsNeedNoKeyWithoutTenants() {
    assertThat(TenantTable.NONE.authenticate(false, Optional.empty()), equalTo(new Admitted("")));
    assertThat(TenantTable.NONE.authenticate(false, Optional.of("x")), equalTo(new Admitted("")));
  }

  @Test
  void thePriorityOfATenantIsFoundByItsName() {
    assertThat(table.priorityOf("first"), equalTo(OptionalInt.of(2)));
    assertThat(table.priorityOf("second"), equalTo(OptionalInt.empty()));
    assertThat(table.priorityOf("third"), equalTo(OptionalInt.empty()));
  }

  @Test
  void toStringContainsNoKey() {
    assertThat(table.toString(), not(containsString("key-")));
  }
}
