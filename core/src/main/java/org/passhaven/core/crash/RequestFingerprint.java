package org.passhaven.core.crash;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Computes fingerprints of requests from what servers receive: method, host, URI and body. A
 * repetition of a request has the same fingerprint, even with another id or at another node. A
 * fingerprint has 128 bits, so collisions are negligible: among a million requests, the probability
 * that any two collide is below 1 in 10^26.
 */
public final class RequestFingerprint {
  private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
  private static final byte[] SEPARATOR = {'\n'};

  private RequestFingerprint() {}

  /** Returns the fingerprint of a request as 32 hex digits. */
  public static String of(String method, String host, String uri, byte[] body) {
    byte[] head = (method + ' ' + host + ' ' + uri).getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[head.length + SEPARATOR.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(SEPARATOR, 0, all, head.length, SEPARATOR.length);
    System.arraycopy(body, 0, all, head.length + SEPARATOR.length, body.length);
    long[] hash = HASH.hashBytes(all);
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
