package org.passhaven.core.scale;

/** Decides how many servers a service needs for its load. Keeps state; not thread-safe. */
public interface CapacityPolicy {
  /** Returns the number of servers needed; zero if the load calls for no particular number. */
  int requiredServers(Load load, long nowMillis);

  /** Records that more servers were ordered because of the load. */
  void onIncrease(long nowMillis);

  /** Handles a time in which the load was not known. */
  default void onBlind() {}
}
