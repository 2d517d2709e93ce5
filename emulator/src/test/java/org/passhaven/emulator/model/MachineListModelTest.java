package org.passhaven.emulator.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.spi.MachineList.Kind;
import org.passhaven.spi.MachineList.Listing;
import org.passhaven.spi.MachineList.Machine;
import org.passhaven.spi.MachineList.State;

class MachineListModelTest {
  private static final long LAG = 1_000;
  private final MachineListModel list = new MachineListModel(LAG);

  private static Machine machine(String id) {
    return new Machine(id, Kind.ENGINE, "g", id, "z", State.LIVE);
  }

  @Test
  void changesAreSeenAfterTheLagAndGivenOutOnce() {
    list.put(List.of(machine("a"), machine("b")), 0);
    assertThat(list.fetch(-1, LAG - 1).machines(), empty());
    Listing whole = list.fetch(-1, LAG);
    assertThat(whole.whole(), equalTo(true));
    assertThat(whole.machines(), equalTo(List.of(machine("a"), machine("b"))));
    assertThat(list.fetch(whole.version(), LAG).machines(), empty());
  }

  @Test
  void onlyWhatChangedIsGivenOut() {
    list.put(List.of(machine("a"), machine("b")), 0);
    long known = list.fetch(-1, LAG).version();
    list.setLeaving("a", LAG);
    list.remove("b", LAG);
    Listing changes = list.fetch(known, 2 * LAG);
    assertThat(changes.whole(), equalTo(false));
    assertThat(changes.machines().get(0).state(), equalTo(State.LEAVING));
    assertThat(changes.removed(), equalTo(List.of("b")));
  }
}
