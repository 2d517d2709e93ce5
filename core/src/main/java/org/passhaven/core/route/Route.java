package org.passhaven.core.route;

import java.util.List;
import java.util.Objects;

/**
 * One route of the configuration in force.
 *
 * @param pathPrefix begins and ends with a slash
 * @param shares services by weight; at least one
 * @param timeoutMillis longest time that a request may be held; zero for no limit
 * @param targetMillis time within which an answer is worth most
 * @param mostAttempts most servers that may run one request
 * @param singleVersion whether one text must come from one weight version
 * @param priority rank of its requests, 0 first
 * @param giveUpMillis time after which an item of a job may be given up; zero for never
 * @param isPublic whether its requests need no key where there are tenants
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    List<ServiceShare> shares,
    Kind kind,
    long timeoutMillis,
    long targetMillis,
    int mostAttempts,
    boolean resumable,
    boolean singleVersion,
    int priority,
    long giveUpMillis,
    boolean isPublic) {
  /** What may be repeated, and how answers come. */
  public enum Kind {
    /** May run more than once. */
    REPEATABLE,
    /** May run at most once. */
    AT_MOST_ONCE,
    /** The answer is a series of events. */
    STREAMING,
    /** Takes batch jobs. */
    JOBS
  }

  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(pathPrefix, "pathPrefix");
    Objects.requireNonNull(kind, "kind");
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " names no service");
    }
  }

  /** Whether a request of this route may run again after it may have run. */
  public boolean mayRepeat() {
    return kind == Kind.REPEATABLE || resumable;
  }
}
