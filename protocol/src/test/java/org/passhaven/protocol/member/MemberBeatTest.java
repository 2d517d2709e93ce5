package org.passhaven.protocol.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Codec;

/** Guards against heartbeats that nodes of another version cannot read during an upgrade. */
class MemberBeatTest {
  /** Maximum number of bytes that server use may add to a heartbeat. */
  private static final int MAX_USE_BYTES = 1_024;

  private static final int MAX_USES = 32;

  /** A heartbeat as written by nodes without server use. */
  record OldBeat(
      String node,
      String address,
      String zone,
      long incarnation,
      boolean taking,
      double requestsPerSecond,
      long periodMillis,
      double cores,
      long inLogMillis) {}

  private static final OldBeat OLD = new OldBeat("n", "n:1", "z", 7, true, 2.5, 500, 0, 0);

  private static MemberBeat beat(List<ServerUse> uses) {
    return new MemberBeat("n", "n:1", "z", 7, true, 2.5, 500, 0, 0, uses);
  }

  @Test
  void encodingKeepsServerUse() {
    MemberBeat beat =
        beat(List.of(new ServerUse("s1", 1_785_333_665_078L, 6, 45), new ServerUse("s2", 0, 1, 0)));
    assertThat(Codec.decode(Codec.encode(beat), MemberBeat.class), equalTo(beat));
  }

  @Test
  void aHeartbeatOfAnOlderNodeHasNoServerUse() {
    MemberBeat decoded = Codec.decode(Codec.encode(OLD), MemberBeat.class);
    assertThat(decoded.serverUse(), empty());
    assertThat(decoded, equalTo(beat(List.of())));
  }

  @Test
  void anOlderNodeIgnoresServerUse() {
    byte[] encoded = Codec.encode(beat(List.of(new ServerUse("s1", 0, 6, 45))));
    assertThat(Codec.decode(encoded, OldBeat.class), equalTo(OLD));
  }

  @Test
  void ownedRunsAreKeptAndIgnoredByAnOlderNode() {
    MemberBeat owner = new MemberBeat("n", "n:1", "z", 7, true, 2.5, 500, 0, 0, List.of(), 2);
    assertThat(Codec.decode(Codec.encode(owner), MemberBeat.class), equalTo(owner));
    assertThat(Codec.decode(Codec.encode(owner), OldBeat.class), equalTo(OLD));
  }

  @Test
  void emptyServerUseAddsNoBytes() {
    assertThat(Codec.encode(beat(List.of())).length, equalTo(Codec.encode(OLD).length));
  }

  @Test
  void serverUseOfManyServersIsSmall() {
    List<ServerUse> uses = new ArrayList<>();
    for (int i = 0; i < MAX_USES; i++) {
      uses.add(new ServerUse(String.format("i-%010x", i), 1_785_333_665_078L + i, 20, 250));
    }
    int extra = Codec.encode(beat(uses)).length - Codec.encode(OLD).length;
    assertThat(extra, lessThanOrEqualTo(MAX_USE_BYTES));
  }
}
