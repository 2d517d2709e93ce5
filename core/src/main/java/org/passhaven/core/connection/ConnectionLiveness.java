package org.passhaven.core.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Decides which idle keep-alive connections may be reused. Network failures can silence connections
 * without closing them, often several at once. If a call gets no response, all connections to its
 * address that have received no data since it was sent, or since its own last data, become suspect.
 * If this happens at two addresses within a second, and no older connection has received data
 * since, all connections of this node become suspect. A connection that receives data is trusted
 * again. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class ConnectionLiveness {
  /**
   * Silences within this time are treated as one event. It is long enough for a node to make calls
   * to two addresses, but too short for unrelated slow servers to count as an outage.
   */
  private static final long SAME_EVENT_MILLIS = 1_000;

  private static final int MIN_SILENT_ADDRESSES = 2;
  private static final long NEVER_MILLIS = Long.MIN_VALUE;
  private final Set<Connection> open = new HashSet<>();
  private final Map<String, Long> silentSinceMillisByAddress = new HashMap<>();
  private final Map<String, Silence> silences = new HashMap<>();
  private long allSilentSinceMillis = NEVER_MILLIS;

  private record Silence(long sinceMillis, long detectedAtMillis) {}

  /** An open connection. */
  public static final class Connection {
    private final String address;
    private final long openedAtMillis;
    private long lastReceivedAtMillis;
    private boolean hasReceivedData;

    private Connection(String address, long nowMillis) {
      this.address = Objects.requireNonNull(address, "address");
      this.openedAtMillis = nowMillis;
      this.lastReceivedAtMillis = nowMillis;
    }

    /** Returns the remote address. */
    public String address() {
      return address;
    }

    /** Returns when data was last received, or when the connection was opened. */
    public long lastReceivedAtMillis() {
      return lastReceivedAtMillis;
    }

    /** Returns whether the connection was opened before a call began or has received data. */
    public boolean isEstablished(long beganMillis) {
      return hasReceivedData || openedAtMillis < beganMillis;
    }
  }

  /** Registers a newly opened connection. */
  public Connection onOpened(String address, long nowMillis) {
    Connection opened = new Connection(address, nowMillis);
    open.add(opened);
    return opened;
  }

  /** Records that data was received on a connection. */
  public void onDataReceived(Connection connection, long nowMillis) {
    connection.lastReceivedAtMillis = nowMillis;
    connection.hasReceivedData = true;
  }

  /** Removes a closed connection. */
  public void onClosed(Connection closed) {
    open.remove(closed);
    if (open.stream().noneMatch(other -> other.address.equals(closed.address))) {
      silentSinceMillisByAddress.remove(closed.address);
    }
  }

  /** Returns whether a connection may be used for another call. */
  public boolean isReusable(Connection connection) {
    long silentSinceMillis =
        silentSinceMillisByAddress.getOrDefault(connection.address, NEVER_MILLIS);
    return connection.lastReceivedAtMillis > Math.max(silentSinceMillis, allSilentSinceMillis);
  }

  /**
   * Records that a call received no response on a connection within the usual time.
   *
   * @param beganMillis when the call began; a connection that was opened for the call and never
   *     received data is ignored, since the remote host may be down
   * @param sinceMillis when the call was sent or data was last received
   * @return whether this call has made all connections of this node suspect
   */
  public boolean onNoResponse(
      Connection connection, long beganMillis, long sinceMillis, long nowMillis) {
    if (!connection.isEstablished(beganMillis)) {
      return false;
    }
    silentSinceMillisByAddress.merge(connection.address, sinceMillis, Math::max);
    if (sinceMillis <= allSilentSinceMillis) {
      // A call with a longer timeout reports the same event again.
      return false;
    }
    silences.values().removeIf(silence -> nowMillis - silence.detectedAtMillis > SAME_EVENT_MILLIS);
    silences.put(connection.address, new Silence(sinceMillis, nowMillis));
    if (silences.size() < MIN_SILENT_ADDRESSES || hasOlderConnectionReceivedData()) {
      return false;
    }
    silences.clear();
    allSilentSinceMillis = nowMillis - 1;
    return true;
  }

  /**
   * Returns whether a connection older than the first silence received data after the last silence
   * began.
   */
  private boolean hasOlderConnectionReceivedData() {
    long first =
        silences.values().stream().mapToLong(Silence::sinceMillis).min().orElse(NEVER_MILLIS);
    long last =
        silences.values().stream().mapToLong(Silence::sinceMillis).max().orElse(NEVER_MILLIS);
    return open.stream()
        .anyMatch(
            connection ->
                connection.openedAtMillis < first && connection.lastReceivedAtMillis > last);
  }
}
