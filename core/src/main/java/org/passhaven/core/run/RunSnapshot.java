package org.passhaven.core.run;

import java.util.List;
import org.passhaven.core.log.WriterPositions;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.Prompt;

/**
 * Serializable snapshot of a {@link RunState}. Every node derives the same snapshot from the same
 * prefix of the stream.
 */
public record RunSnapshot(
    List<Writer> writers,
    long epoch,
    NodeId owner,
    String ownerAddress,
    boolean released,
    long trainerVersion,
    boolean ended,
    long lastSubmitted,
    long lastFinished,
    long versionAtFinish,
    List<Step> steps) {
  /** Newest applied record of one writer. */
  public record Writer(NodeId node, WriterPositions.Position position) {}

  /** Plan and commits of one open step. */
  public record Step(long step, List<Prompt> prompts, int samplesPerPrompt, List<Commit> commits) {}
}
