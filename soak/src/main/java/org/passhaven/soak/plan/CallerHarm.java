package org.passhaven.soak.plan;

/** Kinds of hard load that callers put on the nodes. */
public enum CallerHarm {
  /** Some request large answers and read them slowly or stall. */
  SLOW_READERS,
  /** One tenant sends many times as many requests as the others. */
  TENANT_FLOOD
}
