package org.passhaven.core.crash;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Tells a request that comes again, with another id and at another node, by what servers get to see
 * of it. 128 bits: of a million requests two are alike with a chance of one in 10^26.
 */
public final class RequestFingerprint {
  private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
  private static final byte[] DIVIDER = {'\n'};

  private RequestFingerprint() {}

  /** Fingerprint of a request: 32 hex digits. */
  public static String of(String method, String host, String uri, byte[] body) {
    byte[] head = (method + ' ' + host + ' ' + uri).getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[head.length + DIVIDER.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(DIVIDER, 0, all, head.length, DIVIDER.length);
    System.arraycopy(body, 0, all, head.length + DIVIDER.length, body.length);
    long[] hash = HASH.hashBytes(all);
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
