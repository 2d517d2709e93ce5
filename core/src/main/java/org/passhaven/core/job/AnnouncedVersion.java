package org.passhaven.core.job;

/**
 * Newest weight version of a model that its trainer announced.
 *
 * @param announcedAtMillis time at which this node read the announcement, in monotonic milliseconds
 */
public record AnnouncedVersion(long version, long announcedAtMillis) {
  private static final long USUAL_LOAD_MILLIS = 1_200;

  /** Returns whether a server that holds {@code heldVersion} should have loaded this version. */
  public boolean isOverdueAt(long heldVersion, long nowMillis) {
    return heldVersion < version && nowMillis - announcedAtMillis >= USUAL_LOAD_MILLIS;
  }
}
