package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import org.passhaven.protocol.Sample;

/** Scores samples; retries until it has a score, so it gives one late rather than never. */
public interface SampleScorer {
  /** Score of a sample by the named service. Cancel to give up. */
  Uni<Double> score(String service, Sample sample);
}
