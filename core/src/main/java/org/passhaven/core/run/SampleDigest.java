package org.passhaven.core.run;

import net.openhft.hashing.LongHashFunction;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.Segment;

/** Computes the digest of a sample's tokens, which its commit record stores. */
public final class SampleDigest {
  private SampleDigest() {}

  /** Returns the digest of all tokens in order. */
  public static long of(Sample sample) {
    long digest = sample.tokenCount();
    for (Segment segment : sample.segments()) {
      digest = LongHashFunction.xx3(digest).hashInts(segment.tokens());
    }
    return digest;
  }
}
