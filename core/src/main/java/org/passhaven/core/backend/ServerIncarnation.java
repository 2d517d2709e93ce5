package org.passhaven.core.backend;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies one incarnation of a server. A restarted server may keep its id, but what is known of
 * the previous incarnation (weights, cached prompts, load, accepted orders, connections) does not
 * apply to the new one.
 *
 * @param id name under which the server is listed and addressed
 * @param startMillis start time reported by the server, in milliseconds since 1970; zero if servers
 *     report none and get a new id after each start
 */
public record ServerIncarnation(String id, long startMillis)
    implements Comparable<ServerIncarnation> {
  private static final Comparator<ServerIncarnation> ORDER =
      Comparator.comparing(ServerIncarnation::id).thenComparingLong(ServerIncarnation::startMillis);

  public ServerIncarnation {
    Objects.requireNonNull(id, "id");
    if (startMillis < 0) {
      throw new IllegalArgumentException("start time of server " + id + " must not be negative");
    }
  }

  /** Returns the incarnation of a server that does not report its start time. */
  public static ServerIncarnation of(String id) {
    return new ServerIncarnation(id, 0);
  }

  /** Returns whether the server reports its start time. */
  public boolean hasStartTime() {
    return startMillis > 0;
  }

  /** Returns whether {@code other} is a later incarnation of the same server. */
  public boolean isSupersededBy(ServerIncarnation other) {
    return id.equals(other.id) && startMillis < other.startMillis;
  }

  @Override
  public int compareTo(ServerIncarnation other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return hasStartTime() ? id + "@" + startMillis : id;
  }
}
