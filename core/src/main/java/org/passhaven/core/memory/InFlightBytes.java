package org.passhaven.core.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the bytes of large request bodies in flight to each server, since a server that runs out
 * of memory fails the requests of all callers. Small bodies are not counted: the server's slots
 * limit them. Not thread-safe.
 */
public final class InFlightBytes {
  /**
   * Maximum number of bytes in flight from this node to one server, unless a single body is larger.
   * Allows for a few bodies of the usual size, and no more since many nodes may send to a server at
   * the same time.
   */
  public static final long MAX_BYTES_PER_SERVER = 4L << 20;

  private final Map<String, Long> bytesByServer = new HashMap<>();

  /** Returns whether a body of this size is counted. */
  public static boolean isCounted(long bytes) {
    return bytes > ByteBudget.SMALL_BODY_BYTES;
  }

  /**
   * Counts a body as in flight, or returns false if it has to wait. A body is always accepted if no
   * other is in flight to the server.
   */
  public boolean tryAcquire(String server, long bytes) {
    long inFlightBytes = bytesByServer.getOrDefault(server, 0L);
    if (inFlightBytes > 0 && inFlightBytes + bytes > MAX_BYTES_PER_SERVER) {
      return false;
    }
    bytesByServer.put(server, inFlightBytes + bytes);
    return true;
  }

  /** Stops counting a body; called after its response or when its connection has ended. */
  public void release(String server, long bytes) {
    bytesByServer.computeIfPresent(
        server, (key, inFlightBytes) -> inFlightBytes > bytes ? inFlightBytes - bytes : null);
  }

  /** Returns the number of bytes in flight to all servers. */
  public long allBytes() {
    return bytesByServer.values().stream().mapToLong(Long::longValue).sum();
  }
}
