package org.passhaven.core.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the bytes of large bodies that were sent to each server and have no answer yet: a server
 * that runs out of memory fails the requests of all callers. Small bodies are not counted, since
 * the server's places bound them. Not thread-safe.
 */
public final class InFlightBytes {
  /**
   * Most bytes in flight from this node to one server, unless a single body is larger. Allows for a
   * few bodies of the usual size; many nodes may send to a server at the same time.
   */
  public static final long MAX_BYTES_PER_SERVER = 4L << 20;

  private final Map<String, Long> bytesByServer = new HashMap<>();

  /** Whether a body of this size is counted. */
  public static boolean isCounted(long bytes) {
    return bytes > ByteBudget.SMALL_BODY_BYTES;
  }

  /**
   * Counts a body that is sent now; false if it has to wait. A body always goes if no other is in
   * flight.
   */
  public boolean take(String server, long bytes) {
    long underWay = bytesByServer.getOrDefault(server, 0L);
    if (underWay > 0 && underWay + bytes > MAX_BYTES_PER_SERVER) {
      return false;
    }
    bytesByServer.put(server, underWay + bytes);
    return true;
  }

  /** A body that was counted is answered, or its connection is closed. */
  public void release(String server, long bytes) {
    bytesByServer.computeIfPresent(
        server, (key, underWay) -> underWay > bytes ? underWay - bytes : null);
  }

  /** Bytes in flight to all servers. */
  public long allBytes() {
    return bytesByServer.values().stream().mapToLong(Long::longValue).sum();
  }
}
