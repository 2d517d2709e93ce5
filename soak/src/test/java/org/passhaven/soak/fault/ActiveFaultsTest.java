package org.passhaven.soak.fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.CallerHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.plan.OperatorChange;
import org.passhaven.soak.plan.ProcessHarm;
import org.passhaven.soak.plan.StoreHarm;

class ActiveFaultsTest {
  private static final long LIMIT_MILLIS = 10_000;
  private final List<String> done = new CopyOnWriteArrayList<>();
  private final ActiveFaults active = new ActiveFaults(new RecordingHands(done));

  private static Fault onProcess(ProcessHarm harm, Integer... nodes) {
    return new Fault.OnProcess(0, 10, harm, List.of(nodes));
  }

  private static Fault onStore(StoreHarm harm, Integer... nodes) {
    return new Fault.OnStore(0, 10, harm, List.of(nodes));
  }

  @Test
  void aNodeStartsAgainWhenTheLastOfItsFaultsHasEnded() {
    Fault first = onProcess(ProcessHarm.KILL, 0, 1);
    Fault second = onProcess(ProcessHarm.KILL, 1);
    active.begin(first);
    active.begin(second);
    active.end(first);
    active.end(second);
    assertThat(done, contains("kill 0", "kill 1", "kill 1", "start 0", "start 1"));
  }

  @Test
  void theNewestHarmOfALinkHolds() {
    Fault delay = new Fault.OnLink(0, 10, LinkKind.STORE, LinkHarm.DELAY, List.of(2));
    Fault silence = new Fault.OnLink(0, 10, LinkKind.STORE, LinkHarm.SILENCE, List.of(2));
    active.begin(delay);
    active.begin(silence);
    active.end(silence);
    active.end(delay);
    assertThat(
        done,
        contains(
            "link STORE 2 DELAY", "link STORE 2 SILENCE", "link STORE 2 DELAY", "link STORE 2 "));
  }

  @Test
  void theNewestPaceOfABackEndHoldsAndCallersAreHarmedOnce() {
    Fault lasting = new Fault.UnevenBackEnd(0, 10, 2, 3);
    Fault moment = new Fault.UnevenBackEnd(0, 10, 2, 5.5);
    Fault flood = new Fault.OnCallers(0, 10, CallerHarm.TENANT_FLOOD);
    active.begin(lasting);
    active.begin(moment);
    active.begin(flood);
    active.end(lasting);
    active.end(moment);
    active.end(flood);
    assertThat(
        done,
        contains(
            "pace 2 3.0", "pace 2 5.5", "callers TENANT_FLOOD 10", "pace 2 5.5", "pace 2 1.0"));
  }

  @Test
  void aStoreThatHarmsAllIsSoundAgainAtItsEnd() {
    Fault down = onStore(StoreHarm.DOWN);
    Fault forgets = onStore(StoreHarm.FORGETS_HISTORY);
    active.begin(down);
    active.begin(forgets);
    active.end(forgets);
    active.end(down);
    assertThat(done, contains("store -1 DOWN", "once FORGETS_HISTORY", "store -1 "));
  }

  @Test
  void aPowerLossSilencesFirstAndLosesWhatWasHeld() {
    Fault loss = onProcess(ProcessHarm.POWER_LOSS, 3);
    active.begin(loss);
    active.end(loss);
    assertThat(
        done,
        contains(
            "link STORE 3 SILENCE",
            "link CALLERS 3 SILENCE",
            "kill 3",
            "reset STORE 3",
            "reset CALLERS 3",
            "link STORE 3 ",
            "link CALLERS 3 ",
            "start 3"));
  }

  @Test
  void whatHappensToALinkAtOnceHasNoEnd() {
    for (LinkHarm harm : List.of(LinkHarm.RESET, LinkHarm.MUTE)) {
      Fault fault = new Fault.OnLink(0, 0, LinkKind.BACK_END, harm, List.of(1));
      active.begin(fault);
      active.end(fault);
    }
    assertThat(done, contains("reset BACK_END 1", "mute BACK_END 1"));
  }

  @Test
  void aBackEndIsHarmedAndHealed() {
    Fault hang = new Fault.OnBackEnd(0, 10, BackEndHarm.HANG, 1);
    active.begin(hang);
    active.end(hang);
    assertThat(done, contains("harm 1 HANG 10", "heal 1 HANG"));
  }

  @Test
  void anEvacuationIsTakenBackAtItsEnd() {
    Fault.Evacuation evacuation = new Fault.Evacuation(0, 9_000, 2);
    active.begin(evacuation);
    active.end(evacuation);
    assertThat(done, contains("evacuate 2", "endEvacuation 2"));
  }

  @Test
  void serversStutterUntilItsEnd() {
    Fault.SecondAnswers stutter = new Fault.SecondAnswers(0, 5_000, 400, 100, 200);
    active.begin(stutter);
    active.end(stutter);
    assertThat(done, contains("stutter 400", "endStutter"));
  }

  @Test
  void serversHarmTheirAnswersUntilItsEnd() {
    Fault.BrokenAnswers broken = new Fault.BrokenAnswers(0, 5_000, 300, 100);
    active.begin(broken);
    active.end(broken);
    assertThat(done, contains("harmAnswers 300", "endAnswerHarm"));
  }

  @Test
  void aServerThatStartsColdCrashesBefore() {
    Fault.ColdRestart restart = new Fault.ColdRestart(0, 600, 1);
    active.begin(restart);
    active.end(restart);
    assertThat(done, contains("harm 1 CRASH 600", "heal 1 CRASH"));
  }

  @Test
  void aScheduleDoesEachFaultAndStartsATerminatedNodeOnceItIsGone() throws Exception {
    try (FaultSchedule schedule = new FaultSchedule(new RecordingHands(done), fault -> {})) {
      schedule.add(
          List.of(
              onProcess(ProcessHarm.TERMINATE, 0, 1),
              onProcess(ProcessHarm.FREEZE, 2),
              new Fault.Change(20, OperatorChange.CONFIGURATION, 0)));
      for (int i = 0; i < LIMIT_MILLIS && schedule.openCount() > 0; i++) {
        Thread.sleep(1);
      }
      assertThat(schedule.openCount(), equalTo(0));
    }
    assertThat(
        done.stream().sorted().toList(),
        contains(
            "change CONFIGURATION 0",
            "freeze 2",
            "start 0",
            "start 1",
            "terminate 0",
            "terminate 1",
            "thaw 2"));
  }
}
