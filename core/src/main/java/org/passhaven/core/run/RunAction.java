package org.passhaven.core.run;

import java.util.List;
import org.passhaven.core.routing.EngineView;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;

/** What the owner of a shard decides to do; carried out at the edge. */
public sealed interface RunAction {
  /**
   * Send a sample to an engine.
   *
   * @param prefix tokens kept from an earlier try, which the engine continues
   * @param priority higher goes first on the engine
   */
  record Generate(
      AttemptId attempt,
      EngineView engine,
      Prompt prompt,
      int sampleIndex,
      List<Segment> prefix,
      int priority)
      implements RunAction {}

  /** Stop a generation whose sample is no longer wanted. */
  record Cancel(AttemptId attempt) implements RunAction {}

  /** Have a sample scored. */
  record Score(AttemptId attempt, Sample sample) implements RunAction {}
}
