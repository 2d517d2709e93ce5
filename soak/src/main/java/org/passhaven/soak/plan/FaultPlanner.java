package org.passhaven.soak.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the plan of faults of a run from its seed; the same seed and settings give the same. */
public final class FaultPlanner {
  /** Quiet before the first fault: nodes come up and jobs begin. */
  static final long CALM_START_MILLIS = 6_000;

  /** Quiet at the end of a run without a final fault, so that the last promises bind again. */
  static final long CALM_END_MILLIS = 8_000;

  // The issue asks for faults in series and overlapping: pauses this long let time-bound checks
  // bind, which need 3 s of calm before them, and a third of the episodes overlap the next.
  private static final long LEAST_PAUSE_MILLIS = 1_000;
  private static final long MOST_PAUSE_MILLIS = 7_000;
  private static final int OVERLAP_ONE_IN = 3;
  // Down times from a blip to what outlasts the silence after which a member is given up.
  private static final long LEAST_HARM_MILLIS = 400;
  private static final long MOST_HARM_MILLIS = 6_000;
  private static final long ROLL_GAP_MILLIS = 1_500;
  private static final long RESTART_MILLIS = 500;
  // A final fault ends every second run, as the users' days partly do.
  private static final int FINAL_FAULT_ONE_IN = 2;
  private static final int ALL_AT_ONCE_ONE_IN = 4;

  // Apart enough that the bound on a request, three crashes and 3 s later, binds in a run of a
  // minute.
  private static final long CRASHING_EVERY_MILLIS = 9_000;

  /** Drawn among others; a machine is suspended only where that is asked for. */
  private static final Set<ProcessHarm> USUAL_HARMS =
      Collections.unmodifiableSet(EnumSet.complementOf(EnumSet.of(ProcessHarm.SUSPEND)));

  /** A silence of connections that are open is drawn only where that is asked for. */
  private static final LinkHarm[] USUAL_LINK_HARMS =
      EnumSet.complementOf(EnumSet.of(LinkHarm.MUTE)).toArray(LinkHarm[]::new);

  /** Answers without end are drawn only where that is asked for. */
  private static final BackEndHarm[] USUAL_BACK_END_HARMS =
      EnumSet.complementOf(EnumSet.of(BackEndHarm.ENDLESS)).toArray(BackEndHarm[]::new);

  // Apart enough that what a strike has done is over before the next one, and pools fill again.
  private static final long SILENT_EVERY_MILLIS = 9_000;
  private static final long SILENT_AGAIN_MILLIS = 1_500;

  private enum Episode {
    LINK,
    PROCESS,
    STORE,
    BACK_END,
    CHANGE,
    ALL_AT_ONCE,
    ROLLING_RESTART
  }

  private final PlanSettings settings;
  private final UniformRandomProvider random;
  private final List<Fault> faults = new ArrayList<>();
  private final List<Episode> bag = new ArrayList<>();
  private final List<StoreHarm> storeBag = new ArrayList<>();
  private final List<ProcessHarm> processBag = new ArrayList<>();

  private FaultPlanner(long seed, PlanSettings settings) {
    this.settings = settings;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** The plan of a seed. */
  public static FaultPlan plan(long seed, PlanSettings settings) {
    return new FaultPlanner(seed, settings).plan(seed);
  }

  private FaultPlan plan(long seed) {
    boolean isFinalFault =
        random.nextInt(FINAL_FAULT_ONE_IN) == 0 || settings.isFinalFaultCertain();
    long lastMillis = settings.trafficMillis() - CALM_END_MILLIS;
    long atMillis = CALM_START_MILLIS;
    while (atMillis < lastMillis) {
      long endMillis = episode(atMillis);
      atMillis = random.nextInt(OVERLAP_ONE_IN) == 0 ? midway(atMillis, endMillis) : endMillis;
      atMillis += between(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
    }
    if (settings.additions().contains(Addition.CRASHES)) {
      addCrashesAndSuspensions(seed, lastMillis);
    }
    if (settings.additions().contains(Addition.SILENT_CONNECTIONS)) {
      addSilentConnections(seed, lastMillis);
    }
    faults.addAll(
        HardLoadPlan.uneven(seed, settings.backEndCount(), CALM_START_MILLIS, lastMillis));
    if (settings.additions().contains(Addition.HARD_LOAD)) {
      faults.addAll(HardLoadPlan.callers(seed, CALM_START_MILLIS, lastMillis));
    }
    if (settings.additions().contains(Addition.EVACUATIONS)) {
      faults.addAll(
          EvacuationPlan.evacuations(
              seed, settings.nodeCount(), settings.backEndCount(), CALM_START_MILLIS, lastMillis));
    }
    if (settings.additions().contains(Addition.SECOND_ANSWERS)) {
      faults.addAll(SecondAnswerPlan.secondAnswers(seed, CALM_START_MILLIS, lastMillis));
    }
    if (settings.additions().contains(Addition.BROKEN_ANSWERS)) {
      faults.addAll(BrokenAnswerPlan.brokenAnswers(seed, CALM_START_MILLIS, lastMillis));
    }
    if (settings.additions().contains(Addition.ENDLESS_ANSWERS)) {
      faults.addAll(
          EndlessAnswerPlan.endlessAnswers(
              seed, settings.backEndCount(), CALM_START_MILLIS, lastMillis));
    }
    if (settings.additions().contains(Addition.CRASH_WAVES)) {
      faults.addAll(CrashWavePlan.crashWaves(seed, lastMillis));
    }
    faults.removeIf(fault -> fault.atMillis() + fault.forMillis() > lastMillis);
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return new FaultPlan(seed, settings.trafficMillis(), faults, isFinalFault);
  }

  /** Drawn apart, so that the rest of the plan is the seed's own. */
  private void addCrashesAndSuspensions(long seed, long lastMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 5);
    RequestHarm[] harms = RequestHarm.values();
    int next = drawing.nextInt(harms.length);
    for (long atMillis = CALM_START_MILLIS;
        atMillis < lastMillis;
        atMillis += CRASHING_EVERY_MILLIS) {
      faults.add(new Fault.OnRequest(atMillis, harms[next++ % harms.length]));
      long forMillis =
          LEAST_HARM_MILLIS + drawing.nextLong(MOST_HARM_MILLIS - LEAST_HARM_MILLIS + 1);
      int node = drawing.nextInt(settings.nodeCount());
      long suspendedAtMillis = atMillis + drawing.nextLong(CRASHING_EVERY_MILLIS);
      faults.add(
          new Fault.OnProcess(suspendedAtMillis, forMillis, ProcessHarm.SUSPEND, List.of(node)));
    }
  }

  /** Strikes at all links to the store, to back ends, or both, some of them twice. */
  private void addSilentConnections(long seed, long lastMillis) {
    UniformRandomProvider drawing = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 37 + 11);
    List<Integer> backEnds = IntStream.range(0, settings.backEndCount()).boxed().toList();
    for (long atMillis = CALM_START_MILLIS;
        atMillis < lastMillis;
        atMillis += SILENT_EVERY_MILLIS) {
      int which = drawing.nextInt(4);
      boolean isTwice = drawing.nextBoolean();
      for (long strikeMillis : isTwice ? List.of(0L, SILENT_AGAIN_MILLIS) : List.of(0L)) {
        if (which != 0) {
          mute(atMillis + strikeMillis, LinkKind.STORE, allNodes());
        }
        if (which != 1) {
          mute(atMillis + strikeMillis, LinkKind.BACK_END, backEnds);
        }
      }
    }
  }

  private void mute(long atMillis, LinkKind link, List<Integer> targets) {
    faults.add(new Fault.OnLink(atMillis, 0, link, LinkHarm.MUTE, targets));
  }

  /** Adds one episode and tells when it ends. */
  private long episode(long atMillis) {
    long forMillis = between(LEAST_HARM_MILLIS, MOST_HARM_MILLIS);
    return switch (draw(bag, Episode.values())) {
      case LINK -> link(atMillis, forMillis);
      case PROCESS ->
          add(
              new Fault.OnProcess(
                  atMillis,
                  forMillis,
                  draw(processBag, USUAL_HARMS.toArray(ProcessHarm[]::new)),
                  someNodes()));
      case STORE -> store(atMillis, forMillis);
      case BACK_END ->
          add(
              new Fault.OnBackEnd(
                  atMillis,
                  forMillis,
                  one(USUAL_BACK_END_HARMS),
                  random.nextInt(settings.backEndCount())));
      case CHANGE -> change(atMillis);
      case ALL_AT_ONCE -> allAtOnce(atMillis, forMillis);
      case ROLLING_RESTART -> rollingRestart(atMillis);
    };
  }

  private long link(long atMillis, long forMillis) {
    LinkKind kind = one(LinkKind.values());
    List<Integer> targets =
        kind == LinkKind.BACK_END ? List.of(random.nextInt(settings.backEndCount())) : someNodes();
    LinkHarm harm = one(USUAL_LINK_HARMS);
    return add(new Fault.OnLink(atMillis, harm.isAtOnce() ? 0 : forMillis, kind, harm, targets));
  }

  private long store(long atMillis, long forMillis) {
    StoreHarm harm = draw(storeBag, StoreHarm.values());
    return switch (harm) {
      case FORGETS_HISTORY, DEALS_GROUPS_ANEW ->
          add(new Fault.OnStore(atMillis, 0, harm, List.of()));
      case SLOW, DOWN, PARTLY_DOWN, LOSES_ANSWERS, DONE_LATE ->
          add(new Fault.OnStore(atMillis, forMillis, harm, List.of()));
      case REFUSES_SOME, RESETS_SOME, SILENT_FOR_SOME, THROTTLES_SOME ->
          add(new Fault.OnStore(atMillis, forMillis, harm, someNodes()));
    };
  }

  private long change(long atMillis) {
    return add(
        new Fault.Change(
            atMillis, one(OperatorChange.values()), random.nextInt(settings.backEndCount())));
  }

  private long allAtOnce(long atMillis, long forMillis) {
    ProcessHarm harm = random.nextBoolean() ? ProcessHarm.KILL : ProcessHarm.POWER_LOSS;
    return add(new Fault.OnProcess(atMillis, forMillis, harm, allNodes()));
  }

  /** Restarts some nodes in turn while the configuration changes; trainers name versions anyway. */
  private long rollingRestart(long atMillis) {
    long nextMillis = atMillis;
    for (int node : shuffled(allNodes()).subList(0, Math.min(3, settings.nodeCount()))) {
      add(new Fault.OnProcess(nextMillis, RESTART_MILLIS, ProcessHarm.TERMINATE, List.of(node)));
      nextMillis += ROLL_GAP_MILLIS;
    }
    change(midway(atMillis, nextMillis));
    return nextMillis;
  }

  private long add(Fault fault) {
    faults.add(fault);
    return fault.atMillis() + fault.forMillis();
  }

  private List<Integer> someNodes() {
    if (random.nextInt(ALL_AT_ONCE_ONE_IN) == 0) {
      return allNodes();
    }
    int most = Math.max(1, settings.nodeCount() / 2);
    return shuffled(allNodes()).subList(0, 1 + random.nextInt(most)).stream().sorted().toList();
  }

  private List<Integer> allNodes() {
    return IntStream.range(0, settings.nodeCount()).boxed().toList();
  }

  private <T> T one(T[] values) {
    return values[random.nextInt(values.length)];
  }

  /** Draws without putting back until the bag is empty, so that a run sees many kinds. */
  private <T> T draw(List<T> left, T[] values) {
    if (left.isEmpty()) {
      left.addAll(shuffled(List.of(values)));
    }
    return left.remove(left.size() - 1);
  }

  private <T> List<T> shuffled(List<T> values) {
    List<T> shuffled = new ArrayList<>(values);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      T swapped = shuffled.get(i);
      shuffled.set(i, shuffled.get(other));
      shuffled.set(other, swapped);
    }
    return shuffled;
  }

  private long between(long least, long most) {
    return least + random.nextLong(most - least + 1);
  }

  private static long midway(long firstMillis, long secondMillis) {
    return (firstMillis + secondMillis) / 2;
  }
}
