package org.passhaven.soak.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PortClaimTest {
  @Test
  void twoClaimsShareNoPortAndGiveThemBack() throws IOException {
    try (PortClaim first = PortClaim.of(150);
        PortClaim second = PortClaim.of(150)) {
      assertThat(first.ports().size(), greaterThanOrEqualTo(150));
      Set<Integer> both = new HashSet<>(first.ports());
      both.addAll(second.ports());
      assertThat(both.size(), equalTo(first.ports().size() + second.ports().size()));
      both.forEach(port -> assertThat(port, lessThan(32_768)));
    }
    assertThrows(IOException.class, () -> PortClaim.of(1_000_000));
  }
}
