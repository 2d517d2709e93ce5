package org.passhaven.core.scale;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.passhaven.core.scale.ScalingOrders.Subject;
import org.passhaven.protocol.duty.DutyRecord.ScalingFigures;
import org.passhaven.protocol.duty.ServiceFigures;

class ScalingOrdersTest {
  private static final Subject SUBJECT = new Subject("llm", "a");
  private final ScalingOrders orders = new ScalingOrders();
  private final Backoff<Subject> retries = new Backoff<>(500, 8_000);
  private long number;

  private boolean readBack(long epoch) {
    return orders.onRecord(new ScalingFigures(epoch, "n", 1, ++number, orders.figures()), 5, true);
  }

  private Optional<Integer> nextToSend() {
    return orders
        .nextToSend(due -> !retries.isWaiting(due.subject(), 0))
        .map(due -> due.order().servers());
  }

  @Test
  void anOrderIsSentOnlyOnceItWasReadBack() {
    orders.order(SUBJECT, 3);
    assertThat(nextToSend(), equalTo(Optional.empty()));
    readBack(5);
    assertThat(nextToSend(), equalTo(Optional.of(3)));
  }

  @Test
  void anAcceptedOrderIsSentAgainOnlyIfItIsGivenAgain() {
    orders.order(SUBJECT, 3);
    orders.onAccepted(SUBJECT, 3);
    readBack(5);
    assertThat(nextToSend(), equalTo(Optional.empty()));
    orders.order(SUBJECT, 3);
    readBack(5);
    assertThat(nextToSend(), equalTo(Optional.of(3)));
  }

  @Test
  void withoutServersTheOrderThatWasAcceptedBeforeStands() {
    orders.order(SUBJECT, 3);
    orders.onAccepted(SUBJECT, 3);
    orders.order(SUBJECT, 4);
    orders.withdraw(SUBJECT);
    assertThat(orders.of("llm").zones(), equalTo(Map.of("a", new ServiceFigures.Order(3, 3))));
    orders.order(new Subject("llm", "b"), 2);
    orders.withdraw(new Subject("llm", "b"));
    assertThat(orders.of("llm").zones().containsKey("b"), equalTo(false));
  }

  @Test
  void aRecordOfAnEarlierEpochIsIgnored() {
    orders.order(SUBJECT, 3);
    assertThat(readBack(4), equalTo(false));
    assertThat(orders.isRecorded(), equalTo(false));
  }

  @Test
  void changesThatAreNotRecordedAreLostWithTheLease() {
    orders.order(SUBJECT, 3);
    orders.reset();
    assertThat(orders.of("llm").zones(), equalTo(Map.of()));
  }

  private static ScalingFigures recordOf(long epoch, String node, long number, int floor) {
    return new ScalingFigures(
        epoch, node, 1, number, Map.of("llm", new ServiceFigures(floor, Map.of())));
  }

  @Test
  void aRecordDoesNotLowerAFloorThatIsKnown() {
    orders.onRecord(recordOf(5, "n", 1, 6), 5, false);
    orders.onRecord(recordOf(6, "m", 1, 4), 6, false);
    assertThat(orders.of("llm").floor(), equalTo(6));
    assertThat(orders.isRecorded(), equalTo(false));
    orders.reset();
    assertThat(orders.of("llm").floor(), equalTo(6));
    orders.raiseFloor("llm", 4);
    assertThat(orders.of("llm").floor(), equalTo(6));
  }

  @Test
  void aRecordThatANewerOneOfTheSameWriterHasOvertakenIsIgnored() {
    Map<String, ServiceFigures> three =
        Map.of("llm", new ServiceFigures(6, Map.of("a", new ServiceFigures.Order(3, 0))));
    Map<String, ServiceFigures> four =
        Map.of("llm", new ServiceFigures(6, Map.of("a", new ServiceFigures.Order(4, 0))));
    orders.onRecord(new ScalingFigures(5, "n", 1, 2, four), 5, false);
    assertThat(orders.onRecord(new ScalingFigures(5, "n", 1, 1, three), 5, false), equalTo(false));
    assertThat(orders.onRecord(new ScalingFigures(5, "n", 1, 2, three), 5, false), equalTo(false));
    assertThat(orders.of("llm").zones(), equalTo(four.get("llm").zones()));
    assertThat(orders.onRecord(new ScalingFigures(6, "n", 1, 1, three), 6, false), equalTo(true));
    assertThat(orders.onRecord(new ScalingFigures(6, "m", 1, 1, four), 6, false), equalTo(true));
  }
}
