package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import org.passhaven.protocol.Sample;

/** Scores samples with a scoring service; retries until the service returns a score. */
public interface SampleScorer {
  /** Returns the sample's score from the named service. Cancel the result to stop retrying. */
  Uni<Double> score(String service, Sample sample);
}
