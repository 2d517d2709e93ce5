package org.passhaven.core.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of large bodies that were sent to each server and have no answer yet. A server that holds
 * more requests than its memory bears falls over, and takes those of all callers with it. Small
 * bodies are not counted: the server's places bound them. Not thread-safe.
 */
public final class InFlightBytes {
  /**
   * Most bytes under way to one server while more than one body is: a server has a few places, and
   * usual bodies of models have less than 1 MB. Dozens of nodes may send to it at the same time.
   */
  public static final long MAX_BYTES_PER_SERVER = 4L << 20;

  private final Map<String, Long> bytesByServer = new HashMap<>();

  /** Whether a body of this size counts. */
  public static boolean counts(long bytes) {
    return bytes > ByteBudget.SMALL_BODY_BYTES;
  }

  /** Counts a body that is sent now; false if it has to wait. One that is alone always goes. */
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

  /** Bytes under way to all servers. */
  public long allBytes() {
    return bytesByServer.values().stream().mapToLong(Long::longValue).sum();
  }
}
