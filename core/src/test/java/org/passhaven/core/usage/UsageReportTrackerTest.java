package org.passhaven.core.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.passhaven.protocol.duty.DutyRecord.UsageFixed;
import org.passhaven.protocol.duty.DutyRecord.UsageReported;
import org.passhaven.protocol.usage.UsageRecord;

class UsageReportTrackerTest {
  private final UsageReportTracker reports = new UsageReportTracker();
  private final UsageTable table = new UsageTable();

  private static UsageFixed fixed(long window, long count) {
    return new UsageFixed(1, "n", 1, window, Map.of("t", count), 7);
  }

  private static UsageRecord record(long incarnation, long window, long count) {
    return new UsageRecord("n", incarnation, window, Map.of("t", count));
  }

  @Test
  void aNewFleetBeginsWithTheNewestWindow() {
    assertThat(reports.nextToFix(40), equalTo(OptionalLong.of(40)));
    reports.onFixed(fixed(40, 3));
    assertThat(reports.nextToFix(40), equalTo(OptionalLong.empty()));
    assertThat(reports.nextToFix(42), equalTo(OptionalLong.of(41)));
  }

  @Test
  void onlyTheFirstCountsOfAWindowAreReported() {
    reports.onFixed(fixed(40, 3));
    reports.onFixed(fixed(40, 4));
    assertThat(reports.nextToReport().get(), equalTo(Map.entry(40L, Map.of("t", 3L))));
    reports.onReported(new UsageReported(1, "n", 1, 40));
    reports.onFixed(fixed(40, 5));
    assertThat(reports.nextToReport().isPresent(), is(false));
    assertThat(reports.hasWork(40), is(false));
    assertThat(reports.hasWork(41), is(true));
  }

  @Test
  void afterALongOutageWindowsAreReportedInOrderAndTheOldestAreDropped() {
    reports.onFixed(fixed(40, 3));
    reports.onFixed(fixed(41, 3));
    assertThat(reports.nextToReport().get().getKey(), equalTo(40L));
    assertThat(reports.nextToFix(1_000), equalTo(OptionalLong.of(880)));
  }

  @Test
  void duplicatesAreIgnoredAndIncarnationsAreAddedUp() {
    List<UsageRecord> records =
        List.of(record(1, 5, 3), record(1, 5, 2), record(1, 5, 3), record(2, 5, 4));
    records.forEach(record -> table.onRecord(record, 10));
    assertThat(table.totals(5), equalTo(Map.of("t", 7L)));
    assertThat(table.totals(6), equalTo(Map.of()));
  }

  @Test
  void theFirstOffsetAfterAWindowIsThatOfALaterWindow() {
    table.onRecord(record(1, 5, 1), 10);
    table.onRecord(record(1, 6, 1), 11);
    table.onRecord(record(1, 5, 2), 12);
    table.onRecord(record(1, 7, 1), 13);
    assertThat(table.firstOffsetAfter(5), equalTo(OptionalLong.of(11)));
    table.removeUpTo(6);
    assertThat(table.firstOffsetAfter(6), equalTo(OptionalLong.of(13)));
    assertThat(table.firstOffsetAfter(7), equalTo(OptionalLong.empty()));
  }

  @Test
  void unpublishedCountsArePublishedAgainAsTotals() {
    UsageCounter counter = new UsageCounter("n", 1);
    counter.onRequestStarted("t", 5);
    List<UsageRecord> first = counter.takeUnpublished();
    assertThat(first, equalTo(List.of(record(1, 5, 1))));
    assertThat(counter.takeUnpublished(), equalTo(List.of()));
    counter.onRequestStarted("t", 5);
    counter.onPublishFailed(first);
    assertThat(counter.takeUnpublished(), equalTo(List.of(record(1, 5, 2))));
  }

  @Test
  void aJumpOfTheTimeOfDayTakesEffectWithDelay() {
    TimeOfDayEstimator time = new TimeOfDayEstimator();
    for (int i = 0; i < 40; i++) {
      time.onSample(i * 500L, 1_000_000 + i * 500L);
    }
    for (int i = 40; i < 52; i++) {
      time.onSample(i * 500L, 1_006_000 + i * 500L);
    }
    assertThat(time.estimateMillis(26_000), equalTo(1_026_000L));
    for (int i = 52; i < 130; i++) {
      time.onSample(i * 500L, 1_006_000 + i * 500L);
    }
    assertThat(time.estimateMillis(65_000), equalTo(1_071_000L));
  }

  @Test
  void aWindowIsDueSomeTimeAfterItsEnd() {
    UsageSettings settings = new UsageSettings(5_000, 3_000, 300);
    assertThat(settings.windowAt(9_999), equalTo(1L));
    assertThat(settings.newestDue(12_999), equalTo(0L));
    assertThat(settings.newestDue(13_000), equalTo(1L));
  }

  @Test
  void publishingIsBoundedAndCompletedBeforeWindowsAreFixed() {
    UsageSettings settings = new UsageSettings(5_000, 3_000, 300);
    assertThat(settings.publishIntervalMillis(0), equalTo(250L));
    assertThat(settings.publishIntervalMillis(71), equalTo(250L));
    assertThat(settings.publishIntervalMillis(370), equalTo(1_233L));
    assertThat(settings.publishIntervalMillis(5_000), equalTo(1_500L));
  }
}
