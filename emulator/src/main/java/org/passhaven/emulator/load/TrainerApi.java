package org.passhaven.emulator.load;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;

/** What a trainer asks of passhaven, over HTTP or in the simulator. */
public interface TrainerApi {
  /** Samples after a cursor. */
  record Pulled(List<Sample> samples, List<Long> cursor, boolean complete) {}

  /** Submits a step. */
  Uni<Void> submit(String trainer, long step, List<Prompt> prompts, int samplesPerPrompt);

  /** Asks for samples. */
  Uni<Pulled> pull(
      String trainer, long step, List<Long> cursor, long trainerVersion, long waitMillis);

  /** States the trainer's version. */
  Uni<Void> stateVersion(String trainer, long version);
}
