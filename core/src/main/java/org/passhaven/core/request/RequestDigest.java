package org.passhaven.core.request;

import net.openhft.hashing.LongHashFunction;

/**
 * Digests that distinguish a repeated request from another request with the same idempotency key.
 */
public final class RequestDigest {
  private RequestDigest() {}

  /** Returns the digest of a request's method, path and body. */
  public static long of(String method, String path, byte[] body) {
    LongHashFunction hash = LongHashFunction.xx3();
    return hash.hashChars(method + " " + path) * 31 + hash.hashBytes(body);
  }
}
