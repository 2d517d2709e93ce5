package org.passhaven.soak.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

class MemoryRoomTest {
  @Test
  void tellsHowManyNodesFit() {
    long availableMb = MemoryRoom.OWN_MB + 3 * MemoryRoom.NODE_MB;
    assertThat(MemoryRoom.shortage(3, availableMb).isEmpty(), equalTo(true));
    assertThat(
        MemoryRoom.shortage(4, availableMb).orElseThrow(), containsString("at most 3 nodes fit"));
    assertThat(
        MemoryRoom.shortage(1, MemoryRoom.OWN_MB / 2).orElseThrow(),
        containsString("at most 0 nodes fit"));
  }
}
