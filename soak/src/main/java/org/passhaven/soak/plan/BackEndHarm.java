package org.passhaven.soak.plan;

/** What happens to a back end. */
public enum BackEndHarm {
  /** Ends at once and starts again later, as a new incarnation. */
  CRASH,
  /** Takes requests, does nothing and says nothing. */
  HANG,
  /** Works several times slower. */
  SLOW,
  /** Answers each request with bytes that never end. */
  ENDLESS
}
