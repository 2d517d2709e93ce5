package org.passhaven.protocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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

  /** Guards against a record whose declared length makes its reader run out of memory. */
  @Test
  void aValueThatDeclaresMoreBytesThanThereAreIsRejected() {
    byte[] binary = {(byte) 0xc6, 0x7f, -1, -1, -1};
    byte[] text = {(byte) 0xdb, 0x7f, -1, -1, -1, 'a'};
    byte[] list = {(byte) 0xdd, 0x7f, -1, -1, -1, 1};
    byte[] map = {(byte) 0xdf, 0x7f, -1, -1, -1, (byte) 0xa1, 'a', 1};
    for (byte[] odd : List.of(binary, text, list, map)) {
      assertThrows(CodecException.class, () -> Codec.decode(odd, LogEntry.class));
      byte[] inField =
          concat(new byte[] {(byte) 0x81, (byte) 0xa6, 'r', 'e', 'c', 'o', 'r', 'd'}, odd);
      assertThrows(CodecException.class, () -> Codec.decode(inField, LogEntry.class));
      byte[] inUnknownField = concat(new byte[] {(byte) 0x81, (byte) 0xa1, 'x'}, odd);
      assertThrows(CodecException.class, () -> Codec.decode(inUnknownField, LogEntry.class));
    }
  }

  /** Guards against a job that is taken apart into records and not read as it was written. */
  @Test
  void aMessageInPiecesOfAnySizeIsTheSame() {
    LogEntry entry =
        new LogEntry(
            new RecordId(new NodeId("a"), 7, 3),
            new LogRecord.SamplesCommitted(
                2, 5, List.of(new LogRecord.Commit(0, 1, 2, 3, 4, -9L))));
    byte[] whole = Codec.encode(entry);
    for (int size = 1; size <= whole.length; size++) {
      List<byte[]> pieces = new ArrayList<>();
      for (int from = 0; from < whole.length; from += size) {
        pieces.add(Arrays.copyOfRange(whole, from, Math.min(whole.length, from + size)));
      }
      assertThat(Codec.decode(pieces, LogEntry.class), equalTo(entry));
      List<byte[]> cut = pieces.subList(0, pieces.size() - 1);
      assertThrows(CodecException.class, () -> Codec.decode(cut, LogEntry.class));
    }
  }

  /** Guards against a record nested so deeply that its reader overflows the stack. */
  @Test
  void aDeeplyNestedValueIsRejected() {
    byte[] nested = new byte[200_000];
    Arrays.fill(nested, (byte) 0x91);
    assertThrows(CodecException.class, () -> Codec.decode(nested, LogEntry.class));
    byte[] inUnknownField = concat(new byte[] {(byte) 0x81, (byte) 0xa1, 'x'}, nested);
    assertThrows(CodecException.class, () -> Codec.decode(inUnknownField, LogEntry.class));
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  @Test
  void invalidBytesAreRejected() {
    byte[] noise = "no message".getBytes(StandardCharsets.UTF_8);
    assertThrows(CodecException.class, () -> Codec.decode(noise, PeerRequest.class));
  }
}
