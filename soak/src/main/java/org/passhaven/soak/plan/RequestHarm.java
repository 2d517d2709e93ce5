package org.passhaven.soak.plan;

/** Which request crashes the servers that run it from some moment on. */
public enum RequestHarm {
  /** A plain request, which comes again and again at any node. */
  LOOKUP_CRASHES,
  /** An item of a batch job; only some servers in a row crash while they run it. */
  ITEM_CRASHES,
  /** The call that scores an item. */
  SCORE_CRASHES
}
