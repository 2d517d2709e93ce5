package org.passhaven.soak.fault;

import java.util.List;
import java.util.Optional;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.CallerHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.plan.OperatorChange;
import org.passhaven.soak.plan.RequestHarm;
import org.passhaven.soak.plan.StoreHarm;

/** Hands that only note what they are asked to do. */
record RecordingHands(List<String> done) implements Hands {
  @Override
  public void start(int node) {
    done.add("start " + node);
  }

  @Override
  public void kill(int node) {
    done.add("kill " + node);
  }

  @Override
  public void terminate(int node, Runnable whenGone) {
    done.add("terminate " + node);
    whenGone.run();
  }

  @Override
  public void freeze(int node) {
    done.add("freeze " + node);
  }

  @Override
  public void thaw(int node) {
    done.add("thaw " + node);
  }

  @Override
  public void link(LinkKind link, int target, Optional<LinkHarm> harm) {
    done.add("link " + link + " " + target + " " + harm.map(Enum::name).orElse(""));
  }

  @Override
  public void reset(LinkKind link, int target) {
    done.add("reset " + link + " " + target);
  }

  @Override
  public void mute(LinkKind link, int target) {
    done.add("mute " + link + " " + target);
  }

  @Override
  public void store(int node, Optional<StoreHarm> harm) {
    done.add("store " + node + " " + harm.map(Enum::name).orElse(""));
  }

  @Override
  public void storeOnce(StoreHarm harm) {
    done.add("once " + harm);
  }

  @Override
  public void harmBackEnd(int backEnd, BackEndHarm harm, long forMillis) {
    done.add("harm " + backEnd + " " + harm + " " + forMillis);
  }

  @Override
  public void pace(int backEnd, double factor) {
    done.add("pace " + backEnd + " " + factor);
  }

  @Override
  public void harmCallers(CallerHarm harm, long forMillis) {
    done.add("callers " + harm + " " + forMillis);
  }

  @Override
  public void crash(int backEnd, long forMillis, boolean isReset) {
    done.add("backEnd " + backEnd + " crashes" + (isReset ? " with resets" : ""));
  }

  @Override
  public void healBackEnd(int backEnd, BackEndHarm harm) {
    done.add("heal " + backEnd + " " + harm);
  }

  @Override
  public void harmRequest(RequestHarm harm) {
    done.add("request " + harm);
  }

  @Override
  public void suspend(int node) {
    done.add("suspend " + node);
  }

  @Override
  public void evacuate(int zone) {
    done.add("evacuate " + zone);
  }

  @Override
  public void endEvacuation(int zone) {
    done.add("endEvacuation " + zone);
  }

  @Override
  public void stutter(Fault.SecondAnswers fault) {
    done.add("stutter " + fault.secondPermille());
  }

  @Override
  public void endStutter() {
    done.add("endStutter");
  }

  @Override
  public void harmAnswers(Fault.BrokenAnswers fault) {
    done.add("harmAnswers " + fault.brokenPermille());
  }

  @Override
  public void endAnswerHarm() {
    done.add("endAnswerHarm");
  }

  @Override
  public void change(OperatorChange change, int backEnd) {
    done.add("change " + change + " " + backEnd);
  }
}
