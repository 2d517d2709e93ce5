package org.passhaven.core.run;

import net.openhft.hashing.LongHashFunction;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;

/** Digest of a sample's tokens, kept in its commit record. */
public final class SampleDigest {
  private SampleDigest() {}

  /** Digest of all tokens in order. */
  public static long of(Sample sample) {
    long digest = sample.tokenCount();
    for (Segment segment : sample.segments()) {
      digest = LongHashFunction.xx3(digest).hashInts(segment.tokens());
    }
    return digest;
  }
}
