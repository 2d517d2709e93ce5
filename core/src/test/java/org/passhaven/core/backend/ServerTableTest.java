package org.passhaven.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against state of one server incarnation being applied to another. */
class ServerTableTest {
  private static final ServerIncarnation FIRST = new ServerIncarnation("a", 100);
  private static final ServerIncarnation SECOND = new ServerIncarnation("a", 200);
  private final ServerTable table = new ServerTable();

  private static ServerEntry entry(ServerIncarnation incarnation, boolean ready, long version) {
    return new ServerEntry(incarnation, "s", "h:1", "z", 4, ready, Map.of("m", version));
  }

  @Test
  void aRestartUnderTheSameIdDropsTheStateOfThePreviousIncarnation() {
    table.put(entry(FIRST, true, 7));
    table.put(entry(SECOND, true, 1));
    assertThat(table.get(SECOND).versionOf("m"), equalTo(1L));
    assertThat(table.get(FIRST), nullValue());
    assertThat(table.isReady(FIRST), is(false));
    assertThat(table.isSuperseded(FIRST), is(true));
    assertThat(table.isSuperseded(SECOND), is(false));
  }

  @Test
  void versionsReportedForAnEarlierIncarnationDoNotApplyToALaterOne() {
    table.put(entry(SECOND, true, 1));
    table.onVersionReached(FIRST, "m", 9);
    assertThat(table.get(SECOND).versionOf("m"), equalTo(1L));
    table.onVersionReached(SECOND, "m", 3);
    table.put(entry(SECOND, true, 2));
    assertThat(table.get(SECOND).versionOf("m"), equalTo(3L));
  }

  @Test
  void anEntryOfAnEarlierIncarnationIsIgnored() {
    table.put(entry(SECOND, true, 1));
    table.put(entry(FIRST, false, 9));
    assertThat(table.isReady(SECOND), is(true));
    assertThat(table.readyServersOf("s"), hasSize(1));
  }

  @Test
  void anEntryThatLosesItsStartTimeRemovesTheServer() {
    table.put(entry(FIRST, true, 1));
    table.put(entry(ServerIncarnation.of("b"), true, 1));
    table.put(entry(ServerIncarnation.of("a"), true, 1));
    assertThat(
        table.all().stream().map(ServerEntry::incarnation).toList(),
        contains(ServerIncarnation.of("b")));
  }

  @Test
  void aServerThatStartsToReportItsStartTimeIsANewIncarnation() {
    table.put(entry(ServerIncarnation.of("a"), true, 7));
    table.put(entry(FIRST, true, 1));
    assertThat(table.get(FIRST).versionOf("m"), equalTo(1L));
    assertThat(table.isSuperseded(ServerIncarnation.of("a")), is(true));
  }

  @Test
  void entriesWithoutStartTimesAreUpdatedNormally() {
    ServerIncarnation incarnation = ServerIncarnation.of("b");
    table.put(entry(incarnation, true, 2));
    table.put(entry(incarnation, false, 1));
    assertThat(table.get(incarnation).versionOf("m"), equalTo(2L));
    assertThat(table.isReady(incarnation), is(false));
    assertThat(table.isSuperseded(incarnation), is(false));
  }
}
