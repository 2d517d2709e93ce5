package org.passhaven.core.backend;

import java.util.Comparator;
import java.util.Objects;

/**
 * One start of a server. A server may start again under the id that it had; what was known of the
 * start before (weights, prompts, load, orders taken, connections) then says nothing of it.
 *
 * @param id name under which the server lists itself, and by which requests name it
 * @param bornMillis time of day of the start as the server tells it, in milliseconds since 1970;
 *     zero where servers tell none and have a new id after each start
 */
public record ServerStart(String id, long bornMillis) implements Comparable<ServerStart> {
  private static final Comparator<ServerStart> ORDER =
      Comparator.comparing(ServerStart::id).thenComparingLong(ServerStart::bornMillis);

  public ServerStart {
    Objects.requireNonNull(id, "id");
    if (bornMillis < 0) {
      throw new IllegalArgumentException("bornMillis of " + id + " is negative");
    }
  }

  /** The start of a server that tells no time of it. */
  public static ServerStart of(String id) {
    return new ServerStart(id, 0);
  }

  /** Whether the server tells when it started. */
  public boolean isBornTold() {
    return bornMillis > 0;
  }

  /** Whether {@code other} is a later start of the same server. */
  public boolean isFollowedBy(ServerStart other) {
    return id.equals(other.id) && bornMillis < other.bornMillis;
  }

  @Override
  public int compareTo(ServerStart other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return isBornTold() ? id + "@" + bornMillis : id;
  }
}
