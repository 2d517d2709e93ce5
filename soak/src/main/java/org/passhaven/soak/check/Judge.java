package org.passhaven.soak.check;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** All checks. */
public final class Judge {
  private static final Map<Promise, Check> CHECKS = checks();

  private Judge() {}

  /** Judges every promise, in their order. */
  public static List<Tally> judge(Evidence evidence) {
    return CHECKS.entrySet().stream()
        .map(
            entry -> {
              Tally tally = new Tally(entry.getKey());
              entry.getValue().judge(evidence, tally);
              return tally;
            })
        .toList();
  }

  private static Map<Promise, Check> checks() {
    Map<Promise, Check> checks = new EnumMap<>(Promise.class);
    checks.put(Promise.JOB_KEPT, JobChecks::jobKept);
    checks.put(Promise.RESULT_UNCHANGED, JobChecks::resultUnchanged);
    checks.put(Promise.READABLE_IN_TIME, JobChecks::readableInTime);
    checks.put(Promise.READ_BACK, ReadBackCheck::judge);
    checks.put(Promise.BODY_KEPT, JobChecks::bodyKept);
    checks.put(Promise.WHOLE_ANSWER, ResultChecks::wholeAnswer);
    checks.put(Promise.TRUTHFUL_VERSIONS, ResultChecks::truthfulVersions);
    checks.put(Promise.AT_MOST_ONCE, RunChecks::atMostOnce);
    checks.put(Promise.REFUSED_NOT_RUN, RunChecks::refusedNotRun);
    checks.put(Promise.PLANNED_STOP_LOSES_NOTHING, PlannedStopCheck::judge);
    checks.put(Promise.NOTHING_UNASKED, RunChecks::nothingUnasked);
    checks.put(Promise.CONFIGURATION_IN_TIME, ConfigurationCheck::judge);
    checks.put(Promise.ONE_HOLDER, OrderCheck::judge);
    checks.put(Promise.QUIET_AFTER_END, RunChecks::quietAfterEnd);
    checks.put(Promise.QUIET_AFTER_DRAIN, RunChecks::quietAfterDrain);
    checks.put(Promise.ZONE_EMPTIED_IN_TIME, EvacuationCheck::judge);
    checks.put(Promise.COLD_RATE_KEPT, ColdRateCheck::judge);
    checks.put(Promise.CRASHES_BOUNDED, CrashCheck::judge);
    checks.put(Promise.ITEM_BEGINS_AGAIN, ItemCrashCheck::judge);
    checks.put(Promise.NO_ITEM_STARVED, ItemStarvationCheck::judge);
    checks.put(Promise.TENANT_TRUE, TenantCheck::judge);
    checks.put(Promise.SERVED_OVER_NEW_CONNECTIONS, SilenceCheck::judge);
    checks.put(Promise.SERVED_BESIDE_ENDLESS_ANSWERS, EndlessAnswerCheck::judge);
    checks.put(Promise.SERVED_BESIDE_SLOW_READERS, SlowReaderChecks::servedBeside);
    checks.put(Promise.ONLY_STALLED_DROPPED, SlowReaderChecks::onlyStalledDropped);
    checks.put(Promise.WITHIN_MEMORY, MemoryCheck::judge);
    checks.put(Promise.NO_TENANT_STARVED, TenantShareCheck::judge);
    checks.put(Promise.PROCESS_STAYS, RunChecks::processStays);
    return Collections.unmodifiableMap(checks);
  }
}
