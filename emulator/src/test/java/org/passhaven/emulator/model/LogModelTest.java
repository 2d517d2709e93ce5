package org.passhaven.emulator.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.spi.LogService;

class LogModelTest {
  private final LogModel log = new LogModel();

  private static byte[] record(int value) {
    return new byte[] {(byte) value};
  }

  @Test
  void offsetsGoOnAfterTruncation() {
    log.append("s", List.of(record(1), record(2)));
    log.truncate("s", 1);
    assertThat(log.append("s", List.of(record(3))), equalTo(2L));
    LogService.Batch batch = log.read("s", 0, 10);
    assertThat(batch.firstOffset(), equalTo(1L));
    assertThat(batch.records().size(), equalTo(2));
    assertThat(batch.endOffset(), equalTo(3L));
  }

  @Test
  void lastRecordCanBeAskedFor() {
    log.append("s", List.of(record(1), record(2)));
    assertThat(log.read("s", LogService.LAST, 1).records().get(0)[0], equalTo((byte) 2));
    assertThat(log.read("none", LogService.LAST, 1).records().size(), equalTo(0));
  }
}
