package org.passhaven.core.usage;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.passhaven.protocol.duty.DutyRecord.UsageFixed;
import org.passhaven.protocol.duty.DutyRecord.UsageReported;

/**
 * Which windows were fixed and reported, by the log, and which one is to be fixed or reported next.
 * A window is reported with the counts of its first record only, so every holder, and every repeat,
 * says the same. Windows are taken in their order. Not thread-safe.
 */
public final class UsageReports {
  /** After a long outage older windows are given up: 10 minutes of windows of 5 s. */
  private static final int MOST_BEHIND = 120;

  private final TreeMap<Long, Map<String, Long>> unreported = new TreeMap<>();
  private long newestFixed = Long.MIN_VALUE;
  private long newestReported = Long.MIN_VALUE;
  private long readTo;

  /** Folds a record that fixes a window. */
  public void onFixed(UsageFixed fixed) {
    if (fixed.window() > newestFixed) {
      newestFixed = fixed.window();
      readTo = Math.max(readTo, fixed.readTo());
      if (fixed.window() > newestReported) {
        unreported.put(fixed.window(), fixed.counts());
      }
    }
  }

  /** Folds a record that tells of a report. */
  public void onReported(UsageReported reported) {
    newestReported = Math.max(newestReported, reported.window());
    unreported.remove(reported.window());
  }

  /** Offset of the stream of counts behind which nothing of a fixed window can stand. */
  public long readTo() {
    return readTo;
  }

  /** Whether a window is to be fixed or reported. */
  public boolean isNeeded(long newestDue) {
    return !unreported.isEmpty() || nextToFix(newestDue).isPresent();
  }

  /** The oldest window that was fixed and, by all that is known, not reported. */
  public Optional<Map.Entry<Long, Map<String, Long>>> nextToReport() {
    return Optional.ofNullable(unreported.firstEntry());
  }

  /**
   * The next window to fix; empty if none is due. A fleet that was never there before begins with
   * the newest one that is due.
   */
  public OptionalLong nextToFix(long newestDue) {
    if (newestFixed == Long.MIN_VALUE) {
      return OptionalLong.of(newestDue);
    }
    long next = Math.max(newestFixed + 1, newestDue - MOST_BEHIND);
    return next <= newestDue ? OptionalLong.of(next) : OptionalLong.empty();
  }
}
