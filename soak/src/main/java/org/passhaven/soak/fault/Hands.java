package org.passhaven.soak.fault;

import java.util.Optional;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.CallerHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.plan.OperatorChange;
import org.passhaven.soak.plan.RequestHarm;
import org.passhaven.soak.plan.StoreHarm;

/** What can be done to the system from outside. Nodes and back ends are given by their index. */
public interface Hands {
  /** In place of a node's index: all of them. */
  int ALL = -1;

  /** Starts a node's process unless it runs. */
  void start(int node);

  /** Ends a node's process at once. */
  void kill(int node);

  /** Asks a node's process to end, ends it after its grace, and then tells. */
  void terminate(int node, Runnable whenGone);

  /** Stops a node's process where it stands. */
  void freeze(int node);

  /** Lets a node's process go on. */
  void thaw(int node);

  /** Sets how a link behaves; empty for a sound one. */
  void link(LinkKind link, int target, Optional<LinkHarm> harm);

  /** Resets the open connections of a link. */
  void reset(LinkKind link, int target);

  /** Makes the open connections of a link silent for good; new ones work. */
  void mute(LinkKind link, int target);

  /** Sets how the store behaves to a node; empty for as it should. */
  void store(int node, Optional<StoreHarm> harm);

  /** Does to the store what happens at once. */
  void storeOnce(StoreHarm harm);

  /** A back end's harm begins; a crash lasts for the given time. */
  void harmBackEnd(int backEnd, BackEndHarm harm, long forMillis);

  /**
   * A back end crashes and starts again after a time.
   *
   * @param isReset whether its connections are reset; else they end in the usual way
   */
  void crash(int backEnd, long forMillis, boolean isReset);

  /** A back end's harm is over. */
  void healBackEnd(int backEnd, BackEndHarm harm);

  /** Multiplies the time of all work at a back end; 1 is as usual. */
  void pace(int backEnd, double factor);

  /** Starts a hard load by callers for the given time. */
  void harmCallers(CallerHarm harm, long forMillis);

  /** The next request of a kind becomes one that crashes servers. */
  void harmRequest(RequestHarm harm);

  /** Suspends a node's machine: its steady clock doesn't count the time until it goes on. */
  void suspend(int node);

  /** The operator evacuates a zone. */
  void evacuate(int zone);

  /** The operator takes a zone's evacuation back. */
  void endEvacuation(int zone);

  /** All back ends begin to give some answers twice. */
  void stutter(Fault.SecondAnswers fault);

  /** All back ends give each answer once again. */
  void endStutter();

  /** All back ends begin to harm some of their answers. */
  void harmAnswers(Fault.BrokenAnswers fault);

  /** All back ends give each answer whole and as usual again. */
  void endAnswerHarm();

  /** Does planned work. */
  void change(OperatorChange change, int backEnd);
}
