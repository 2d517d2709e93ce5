package org.passhaven.core.run;

import java.util.List;
import org.passhaven.core.routing.EngineView;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;

/**
 * Action that the {@link RunCoordinator} of a shard returns to its node for execution: the
 * generation of a sample, its cancellation, or a score request.
 */
public sealed interface RunAction {
  /**
   * Generate a sample on an engine.
   *
   * @param prefix tokens of earlier attempts, which the engine continues
   * @param priority scheduling priority on the engine; higher values run first
   */
  record Generate(
      AttemptId attempt,
      EngineView engine,
      Prompt prompt,
      int sampleIndex,
      List<Segment> prefix,
      int priority)
      implements RunAction {}

  /** Cancel a generation whose sample is no longer needed. */
  record Cancel(AttemptId attempt) implements RunAction {}

  /** Request the score of a sample. */
  record Score(AttemptId attempt, Sample sample) implements RunAction {}
}
