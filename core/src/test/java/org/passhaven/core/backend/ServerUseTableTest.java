package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.member.ServerUse;

/** Guards against wrong sums and stale reports of server use. */
class ServerUseTableTest {
  private static final ServerIncarnation S = ServerIncarnation.of("s");
  private final ServerUseTable table = new ServerUseTable();

  private void report(String node, long incarnation, int inProgress, int pauseMillis, long now) {
    table.onReport(node, incarnation, List.of(new ServerUse("s", 0, inProgress, pauseMillis)), now);
  }

  @Test
  void theNewestReportsOfAllNodesAreAddedUp() {
    report("a", 1, 6, 40, 0);
    report("b", 1, 2, 80, 100);
    report("a", 1, 3, 50, 200);
    assertThat(table.slotsInUse(S, 200), equalTo(5.0));
    assertThat(table.pauseMillis(S, 200), equalTo(50.0));
    assertThat(table.ageMillis(S, 200), equalTo(100L));
  }

  @Test
  void theWeightOfAReportDecaysToZero() {
    report("a", 1, 6, 40, 0);
    assertThat(table.slotsInUse(S, 1_000), equalTo(6.0));
    assertThat(table.slotsInUse(S, 2_500), closeTo(3.0, 0.01));
    assertThat(table.slotsInUse(S, 4_000), equalTo(0.0));
    assertThat(table.ageMillis(S, 4_000), equalTo(Long.MAX_VALUE));
    table.forgetExpired(4_000);
    assertThat(table.reportingNodes(), equalTo(0));
  }

  @Test
  void aReportOfAnotherNodeRemovesExpiredReports() {
    report("gone", 1, 6, 40, 0);
    report("a", 1, 1, 40, 4_000);
    assertThat(table.reportingNodes(), equalTo(1));
  }

  @Test
  void anEmptyReportRemovesThePreviousOne() {
    report("a", 1, 6, 40, 0);
    table.onReport("a", 1, List.of(), 500);
    assertThat(table.slotsInUse(S, 500), equalTo(0.0));
  }

  @Test
  void aReportOfAnEarlierIncarnationOfANodeIsIgnored() {
    report("a", 2, 1, 40, 0);
    report("a", 1, 6, 40, 10);
    assertThat(table.slotsInUse(S, 10), equalTo(1.0));
  }

  @Test
  void aReportOnAnEarlierIncarnationOfAServerDoesNotApplyToTheNext() {
    table.onReport("a", 1, List.of(new ServerUse("s", 5, 6, 40)), 0);
    assertThat(table.slotsInUse(new ServerIncarnation("s", 5), 0), equalTo(6.0));
    assertThat(table.slotsInUse(new ServerIncarnation("s", 9), 0), equalTo(0.0));
  }
}
