package org.passhaven.core.run;

import java.util.List;
import org.passhaven.core.log.WriterPositions;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.Prompt;

/**
 * Encodable image of a {@link RunState}; the same prefix of the stream gives the same image at
 * every node.
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
  /** Position of one writer. */
  public record Writer(NodeId node, WriterPositions.Position position) {}

  /** One open step. */
  public record Step(long step, List<Prompt> prompts, int samplesPerPrompt, List<Commit> commits) {}
}
