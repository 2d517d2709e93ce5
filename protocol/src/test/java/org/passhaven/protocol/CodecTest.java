package org.passhaven.protocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against messages that change when encoded and decoded. */
class CodecTest {
  @Test
  void logEntryKeepsItsTypeAndFields() {
    LogEntry entry =
        new LogEntry(
            new RecordId(new NodeId("a"), 7, 3),
            new LogRecord.SamplesCommitted(
                2, 5, List.of(new LogRecord.Commit(0, 1, 2, 3, 4, -9L))));
    assertThat(Codec.decode(Codec.encode(entry), LogEntry.class), equalTo(entry));
  }

  @Test
  void peerResponseKeepsTokens() {
    Sample sample =
        new Sample(
            1,
            2,
            3,
            0,
            List.of(new Segment(4, new ServerId("e"), 5, new int[] {1, -2})),
            Double.NaN);
    PeerResponse decoded =
        Codec.decode(
            Codec.encode(new PeerResponse.Samples(List.of(sample), 9)), PeerResponse.class);
    Sample back = ((PeerResponse.Samples) decoded).samples().get(0);
    assertThat(back.segments().get(0).tokens(), equalTo(new int[] {1, -2}));
    assertThat(back.oldestVersion(), equalTo(4L));
  }

  @Test
  void invalidBytesAreRejected() {
    byte[] noise = "no message".getBytes(StandardCharsets.UTF_8);
    assertThrows(CodecException.class, () -> Codec.decode(noise, PeerRequest.class));
  }
}
