package org.passhaven.soak.plan;

/** What callers do that makes it hard for the nodes. */
public enum CallerHarm {
  /** Some ask for large answers and take them slowly, or nothing for a while. */
  SLOW_READERS,
  /** One tenant sends many times what the others send. */
  TENANT_FLOOD
}
