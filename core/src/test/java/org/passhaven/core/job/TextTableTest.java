package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;

class TextTableTest {
  private static final String RUN = "r";
  private final TextTable table = new TextTable(RUN);

  /** Events behind {@code after}, made by one runner under one version. */
  private static TextPart part(String job, long after, String maker, int events, long version) {
    return part(job, new ItemText(), after, maker, events, version);
  }

  /** The same, made by a runner that continues {@code before}. */
  private static TextPart part(
      String job, ItemText before, long after, String maker, int events, long version) {
    for (long event = before.lastEvent() + 1; event <= after; event++) {
      before.append(event, version, maker + event);
    }
    for (long event = after + 1; event <= after + events; event++) {
      before.append(event, version, maker + event);
    }
    return before.partAfter(after, job, "x", false);
  }

  private static ItemText known(String first, long version, String second, long nextVersion) {
    ItemText text = new ItemText();
    text.append(1, version, first);
    text.append(2, nextVersion, second);
    return text;
  }

  private boolean record(long epoch, long number, TextPart... parts) {
    return table.apply(new TextRecord(RUN, epoch, number, List.of(parts)));
  }

  private String text() {
    return table.remove("j", "x").data();
  }

  @Test
  void partsThatFollowEachOtherAreJoined() {
    record(1, 1, part("j", 0, "a", 2, 3));
    record(1, 2, part("j", known("a1", 3, "a2", 3), 2, "a", 1, 4));
    ItemText text = table.remove("j", "x");
    assertThat(text.data(), equalTo("a1\na2\na3"));
    assertThat(text.versions(), contains(3L, 4L));
    assertThat(table.remove("j", "x"), nullValue());
  }

  @Test
  void aSuccessorsPartReplacesWhatItsPredecessorMadeBehindIt() {
    record(1, 1, part("j", 0, "a", 4, 1));
    record(2, 1, part("j", known("a1", 1, "a2", 1), 2, "b", 1, 2));
    ItemText text = table.remove("j", "x");
    assertThat(text.data(), equalTo("a1\na2\nb3"));
    assertThat(text.versions(), contains(1L, 2L));
  }

  @Test
  void whatAFormerRunnerWritesAfterItsSuccessorIsIgnored() {
    record(1, 1, part("j", 0, "a", 2, 1));
    record(2, 1, part("j", known("a1", 1, "a2", 1), 2, "b", 1, 1));
    assertThat(record(1, 2, part("j", 2, "a", 3, 1)), is(false));
    assertThat(text(), equalTo("a1\na2\nb3"));
  }

  @Test
  void anAppendThatWasDoneLateIsIgnored() {
    record(1, 1, part("j", 0, "a", 2, 1));
    record(1, 3, part("j", 0, "again", 2, 1));
    assertThat(record(1, 2, part("j", 2, "a", 1, 1)), is(false));
    assertThat(text(), equalTo("again1\nagain2"));
  }

  @Test
  void aPartBehindAGapIsLeftOut() {
    record(1, 1, part("j", 0, "a", 1, 1));
    record(1, 2, part("j", 2, "a", 1, 1));
    assertThat(text(), equalTo("a1"));
  }

  @Test
  void aPartOfAnotherTextIsLeftOut() {
    record(1, 1, part("j", 0, "a", 2, 1));
    record(1, 2, part("j", 2, "b", 1, 1));
    assertThat(text(), equalTo("a1\na2"));
  }

  @Test
  void anItemThatALaterJobCarriesOverKeepsItsText() {
    record(1, 1, part("j", 0, "a", 2, 1));
    assertThat(table.remove("k", "x").data(), equalTo("a1\na2"));
  }

  @Test
  void textsOfTwoJobsAreNotJoined() {
    record(1, 1, part("j", 0, "a", 1, 1));
    record(1, 2, part("k", 1, "b", 1, 1));
    assertThat(text(), equalTo("a1"));
  }

  @Test
  void anotherRunsRecordIsIgnored() {
    assertThat(table.apply(new TextRecord("s", 1, 1, List.of())), is(false));
  }

  @Test
  void recordsKeepTheirContentThroughTheCodec() {
    TextRecord record = new TextRecord(RUN, 1, 2, List.of(part("j", 3, "a", 2, 5)));
    assertThat(Codec.decode(Codec.encode(record), TextRecord.class), equalTo(record));
  }
}
