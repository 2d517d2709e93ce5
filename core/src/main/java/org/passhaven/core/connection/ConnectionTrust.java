package org.passhaven.core.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Which connections that were kept open may be used for another call. A connection can go silent
 * for good without being closed, and usually not alone: a call that gets no answer over one puts in
 * doubt those to the same address that were not heard since, and silence at two addresses, with
 * nothing heard over any older connection, puts in doubt all of this node's. A connection over
 * which something comes is out of doubt. Times in monotonic milliseconds. Not thread-safe.
 */
public final class ConnectionTrust {
  /**
   * Silences that lie further apart are not one event. Above the time in which a node makes calls
   * to two addresses, below that in which slow servers alone would add up.
   */
  private static final long TOGETHER_MILLIS = 1_000;

  private static final int ADDRESSES_ENOUGH = 2;
  private static final long NEVER = Long.MIN_VALUE;
  private final Set<Connection> open = new HashSet<>();
  private final Map<String, Long> doubtedUntil = new HashMap<>();
  private final Map<String, Silence> silences = new HashMap<>();
  private long allDoubtedUntil = NEVER;

  private record Silence(long sinceMillis, long seenAtMillis) {}

  /** One connection that is open. */
  public static final class Connection {
    private final String address;
    private final long openedAtMillis;
    private long heardAtMillis;
    private boolean hasAnswered;

    private Connection(String address, long nowMillis) {
      this.address = Objects.requireNonNull(address, "address");
      this.openedAtMillis = nowMillis;
      this.heardAtMillis = nowMillis;
    }

    /** What is at its other end. */
    public String address() {
      return address;
    }

    /** When something last came over it, or it was opened. */
    public long heardAtMillis() {
      return heardAtMillis;
    }

    /** Whether it was open before a call was made, or has answered one. */
    public boolean isKept(long beganMillis) {
      return hasAnswered || openedAtMillis < beganMillis;
    }
  }

  /** A connection was opened. */
  public Connection onOpened(String address, long nowMillis) {
    Connection opened = new Connection(address, nowMillis);
    open.add(opened);
    return opened;
  }

  /** Something came over a connection. */
  public void onHeard(Connection connection, long nowMillis) {
    connection.heardAtMillis = nowMillis;
    connection.hasAnswered = true;
  }

  /** A connection is closed. */
  public void onClosed(Connection closed) {
    open.remove(closed);
    if (open.stream().noneMatch(other -> other.address.equals(closed.address))) {
      doubtedUntil.remove(closed.address);
    }
  }

  /** Whether another call may go over a connection. */
  public boolean isTrusted(Connection connection) {
    long doubted = doubtedUntil.getOrDefault(connection.address, NEVER);
    return connection.heardAtMillis > Math.max(doubted, allDoubtedUntil);
  }

  /**
   * A call got no answer over a connection, at least not for a time in which one usually comes.
   *
   * @param beganMillis when the call was made: a connection that was opened for it and never
   *     answered tells nothing of others, nobody may be there at all
   * @param sinceMillis when the call was sent, or something last came
   * @return whether all connections of this node are in doubt from now on
   */
  public boolean onSilent(
      Connection connection, long beganMillis, long sinceMillis, long nowMillis) {
    if (!connection.isKept(beganMillis)) {
      return false;
    }
    doubtedUntil.merge(connection.address, sinceMillis, Math::max);
    if (sinceMillis <= allDoubtedUntil) {
      // The same event, of which a call that waits longer hears later.
      return false;
    }
    silences.values().removeIf(silence -> nowMillis - silence.seenAtMillis > TOGETHER_MILLIS);
    silences.put(connection.address, new Silence(sinceMillis, nowMillis));
    if (silences.size() < ADDRESSES_ENOUGH || isAnyOldOneHeard()) {
      return false;
    }
    silences.clear();
    allDoubtedUntil = nowMillis - 1;
    return true;
  }

  /** Whether a connection older than the first silence was heard after the last one began. */
  private boolean isAnyOldOneHeard() {
    long first = silences.values().stream().mapToLong(Silence::sinceMillis).min().orElse(NEVER);
    long last = silences.values().stream().mapToLong(Silence::sinceMillis).max().orElse(NEVER);
    return open.stream().anyMatch(old -> old.openedAtMillis < first && old.heardAtMillis > last);
  }
}
