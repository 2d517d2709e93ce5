package org.passhaven.core.job;

/**
 * Newest weight version of a model, as its trainer named it.
 *
 * @param namedAtMillis when this node read the name, in its monotonic milliseconds
 */
public record NamedVersion(long version, long namedAtMillis) {
  private static final long USUAL_LOAD_MILLIS = 1_200;

  /** Whether a server that holds {@code heldVersion} should have had this version by now. */
  public boolean isOverdueAt(long heldVersion, long nowMillis) {
    return heldVersion < version && nowMillis - namedAtMillis >= USUAL_LOAD_MILLIS;
  }
}
