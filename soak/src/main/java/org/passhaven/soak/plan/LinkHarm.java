package org.passhaven.soak.plan;

/** What happens to a link. */
public enum LinkHarm {
  /** Bytes arrive later, in both directions. */
  DELAY,
  /** Open connections are reset, once. */
  RESET,
  /** What the one that opened the connection sends does not arrive; answers do. */
  CUT_OUT,
  /** What comes back does not arrive; requests do. */
  CUT_BACK,
  /** Nothing arrives in either direction, and no connection ends. */
  SILENCE,
  /** Connections that are open carry nothing more, for good, and none ends; new ones work. */
  MUTE;

  /** Whether it happens at once; the others last for a time. */
  public boolean isAtOnce() {
    return this == RESET || this == MUTE;
  }
}
