package org.passhaven.soak.proxy;

/**
 * How a link behaves now.
 *
 * @param delayMillis added to each way of each byte, in ms
 * @param isOutHeld whether what the opener of a connection sends is held back
 * @param isBackHeld whether what comes back to the opener is held back
 */
public record LinkState(long delayMillis, boolean isOutHeld, boolean isBackHeld) {
  /** A sound link. */
  public static final LinkState SOUND = new LinkState(0, false, false);

  /** Checks. */
  public LinkState {
    if (delayMillis < 0) {
      throw new IllegalArgumentException("delay of a link must not be negative");
    }
  }

  /** A link whose bytes arrive later. */
  public static LinkState delayed(long delayMillis) {
    return new LinkState(delayMillis, false, false);
  }

  boolean isHeld(Direction direction) {
    return direction == Direction.OUT ? isOutHeld : isBackHeld;
  }

  enum Direction {
    /** From the opener of a connection. */
    OUT,
    /** To the opener. */
    BACK
  }
}
