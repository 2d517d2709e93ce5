package org.passhaven.core.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

class IntentTableTest {
  private static final NodeId A = new NodeId("a");
  private static final NodeId B = new NodeId("b");
  private final IntentTable table = new IntentTable();
  private long sequence;

  private LogEntry entry(NodeId writer, LogRecord record) {
    return new LogEntry(new RecordId(writer, 1, ++sequence), record);
  }

  private static LogRecord intent() {
    return new LogRecord.IntentRecorded("k", 1);
  }

  @Test
  void theFirstIntentOfAKeyHoldsIt() {
    assertThat("first", table.apply(entry(A, intent())));
    assertThat("second", !table.apply(entry(B, intent())));
    assertThat(table.find("k").orElseThrow().holder().writer(), equalTo(A));
  }

  @Test
  void onlyTheHolderMayWithdraw() {
    table.apply(entry(A, intent()));
    assertThat("other", !table.apply(entry(B, new LogRecord.IntentWithdrawn("k"))));
    assertThat("holder", table.apply(entry(A, new LogRecord.IntentWithdrawn("k"))));
    assertThat(table.find("k"), equalTo(Optional.empty()));
  }

  @Test
  void anAnsweredKeyIsNotReleased() {
    table.apply(entry(A, intent()));
    table.apply(entry(A, new LogRecord.IntentAnswered("k", 200, "", new byte[] {1})));
    assertThat(
        "withdrawn after an answer", !table.apply(entry(A, new LogRecord.IntentWithdrawn("k"))));
    assertThat(table.find("k").orElseThrow().answer().status(), equalTo(200));
  }

  @Test
  void anEarlierIncarnationIsAnotherHolder() {
    table.apply(entry(A, intent()));
    LogEntry later = new LogEntry(new RecordId(A, 2, 1), new LogRecord.IntentWithdrawn("k"));
    assertThat("an earlier incarnation's intent is withdrawn", !table.apply(later));
  }

  @Test
  void aSnapshotKeepsHoldersAndWriterPositions() {
    LogEntry first = entry(A, intent());
    table.apply(first);
    IntentTable restored =
        IntentTable.fromSnapshot(
            Codec.decode(Codec.encode(table.toSnapshot()), IntentTable.Snapshot.class));
    assertThat("duplicate", !restored.apply(first));
    assertThat(restored.find("k").orElseThrow().answer(), nullValue());
  }
}
