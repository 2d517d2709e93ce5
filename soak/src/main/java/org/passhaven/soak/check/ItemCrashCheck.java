package org.passhaven.soak.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.passhaven.platform.standin.history.ServerObservation.CrashedUnderItem;
import org.passhaven.platform.standin.history.ServerObservation.RunBegun;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;

/**
 * {@link Promise#ITEM_BEGINS_AGAIN}: an item during which a server crashed begins at a server again
 * within {@link #LYING_MILLIS}, if all nodes are in touch, its job stays open and servers have
 * room, as other items begin near the end of that time.
 */
final class ItemCrashCheck {
  /** Time at no server, in steady state, after which an item counts as left lying. */
  static final long LYING_MILLIS = 5_000;

  /** Time before the end of {@link #LYING_MILLIS} in which other items begin if there is room. */
  private static final long ROOM_SEEN_MILLIS = 2_000;

  private final Evidence evidence;
  private final Map<String, NavigableSet<Long>> begunMillisByItem = new HashMap<>();
  private final TreeSet<Long> begunMillis = new TreeSet<>();
  private final Map<String, Long> wholeMillisByItem;

  private ItemCrashCheck(Evidence evidence) {
    this.evidence = evidence;
    evidence
        .all(RunBegun.class)
        .filter(run -> !evidence.jobs().withItem(run.id()).isEmpty())
        .forEach(
            run -> {
              begunMillis.add(run.atMillis());
              begunMillisByItem
                  .computeIfAbsent(run.id(), id -> new TreeSet<>())
                  .add(run.atMillis());
            });
    wholeMillisByItem =
        evidence
            .all(RunEnded.class)
            .filter(ended -> ended.how() == RunEnd.WHOLE)
            .collect(Collectors.toMap(RunEnded::id, RunEnded::atMillis, Math::min));
  }

  static void judge(Evidence evidence, Tally tally) {
    List<CrashedUnderItem> crashes = evidence.all(CrashedUnderItem.class).toList();
    if (crashes.isEmpty()) {
      return;
    }
    ItemCrashCheck check = new ItemCrashCheck(evidence);
    crashes.forEach(crash -> check.judge(crash, tally));
  }

  private void judge(CrashedUnderItem crash, Tally tally) {
    boolean hasBegun = hasBegun(crash);
    if (hasBegun || isBound(crash)) {
      tally.check(
          hasBegun,
          crash.atMillis(),
          "",
          crash.item(),
          () -> "begins nowhere for " + LYING_MILLIS + " ms after a crash of its server");
    }
  }

  private boolean hasBegun(CrashedUnderItem crash) {
    Long next =
        begunMillisByItem.getOrDefault(crash.item(), new TreeSet<>()).higher(crash.atMillis());
    return next != null && next <= crash.atMillis() + LYING_MILLIS;
  }

  private boolean isBound(CrashedUnderItem crash) {
    long untilMillis = crash.atMillis() + LYING_MILLIS;
    boolean isOpen =
        evidence.jobs().withItem(crash.item()).stream()
            .anyMatch(
                job -> job.acceptedMillis <= crash.atMillis() && job.endAskedMillis > untilMillis);
    return isOpen
        && untilMillis <= evidence.endMillis()
        && wholeMillisByItem.getOrDefault(crash.item(), Long.MAX_VALUE) > untilMillis
        && !begunMillis.subSet(untilMillis - ROOM_SEEN_MILLIS, untilMillis).isEmpty()
        && evidence.touch().areInTouch(evidence.nodes(), crash.atMillis(), untilMillis);
  }
}
