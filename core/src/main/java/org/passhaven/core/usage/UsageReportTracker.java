package org.passhaven.core.usage;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.passhaven.protocol.duty.DutyRecord.UsageFixed;
import org.passhaven.protocol.duty.DutyRecord.UsageReported;

/**
 * Tracks which usage windows were fixed and reported according to the log, and which one is to be
 * fixed or reported next. To fix a window means to record its final counts. A window is reported
 * with the counts of its first record only, so every holder of the duty lease reports the same,
 * however often. Windows are processed in order. Not thread-safe.
 */
public final class UsageReportTracker {
  /**
   * Maximum number of windows fixed late; after a long outage, older windows are dropped (10
   * minutes with windows of 5 s).
   */
  private static final int MAX_BACKLOG_WINDOWS = 120;

  private final TreeMap<Long, Map<String, Long>> unreportedCountsByWindow = new TreeMap<>();
  private long newestFixed = Long.MIN_VALUE;
  private long newestReported = Long.MIN_VALUE;
  private long resumeOffset;

  /** Applies a record that fixes a window. */
  public void onFixed(UsageFixed fixed) {
    if (fixed.window() > newestFixed) {
      newestFixed = fixed.window();
      resumeOffset = Math.max(resumeOffset, fixed.readTo());
      if (fixed.window() > newestReported) {
        unreportedCountsByWindow.put(fixed.window(), fixed.counts());
      }
    }
  }

  /** Applies a record of a completed report. */
  public void onReported(UsageReported reported) {
    newestReported = Math.max(newestReported, reported.window());
    unreportedCountsByWindow.remove(reported.window());
  }

  /**
   * Returns the offset in the stream of counts from which a new holder must read: all records of
   * windows that are not fixed yet are at or after it.
   */
  public long resumeOffset() {
    return resumeOffset;
  }

  /** Returns whether a window is to be fixed or reported. */
  public boolean hasWork(long newestDue) {
    return !unreportedCountsByWindow.isEmpty() || nextToFix(newestDue).isPresent();
  }

  /** Returns the oldest window that was fixed and is not known to be reported. */
  public Optional<Map.Entry<Long, Map<String, Long>>> nextToReport() {
    return Optional.ofNullable(unreportedCountsByWindow.firstEntry());
  }

  /**
   * Returns the next window to fix; empty if none is due. If no window was fixed so far, this is
   * the newest window that is due.
   */
  public OptionalLong nextToFix(long newestDue) {
    if (newestFixed == Long.MIN_VALUE) {
      return OptionalLong.of(newestDue);
    }
    long next = Math.max(newestFixed + 1, newestDue - MAX_BACKLOG_WINDOWS);
    return next <= newestDue ? OptionalLong.of(next) : OptionalLong.empty();
  }
}
