package org.passhaven.soak.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class MemoryWatchTest {
  @Test
  void bodiesOfAllUsesAreAddedUp() {
    String page =
        """
        # TYPE passhaven_gateway_bodies_held_bytes gauge
        passhaven_gateway_bodies_held_bytes{use="answer"} 1.5E7
        passhaven_gateway_bodies_held_bytes{use="request"} 200.0
        passhaven_gateway_bodies_in_flight_bytes 77.0
        """;
    assertThat(MemoryWatch.heldBytes(page), equalTo(15_000_200L));
  }

  private static String line(long budget) {
    return """
        {"level":"INFO","kvpList": [{"bytes":"%d"},{"largestBody":"7"}],\
        "formattedMessage":"memory: budget of bodies"}"""
        .formatted(budget);
  }

  @Test
  void theNewestLifesBudgetCounts() {
    assertThat(
        MemoryWatch.budgetBytes(Stream.of(line(42), "{\"bytes\":\"9\"}", line(43), "x")),
        equalTo(OptionalLong.of(43)));
    assertThat(MemoryWatch.budgetBytes(Stream.of("x")), equalTo(OptionalLong.empty()));
  }
}
