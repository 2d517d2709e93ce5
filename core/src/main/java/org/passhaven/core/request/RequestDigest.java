package org.passhaven.core.request;

import net.openhft.hashing.LongHashFunction;

/** Digest of a request, to tell a repeat of an idempotency key from another request under it. */
public final class RequestDigest {
  private RequestDigest() {}

  /** Digest of method, path and body. */
  public static long of(String method, String path, byte[] body) {
    LongHashFunction hash = LongHashFunction.xx3();
    return hash.hashChars(method + " " + path) * 31 + hash.hashBytes(body);
  }
}
