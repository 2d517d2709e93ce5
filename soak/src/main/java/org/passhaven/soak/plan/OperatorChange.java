package org.passhaven.soak.plan;

/** Planned work of the operator and of back ends. */
public enum OperatorChange {
  /** A new configuration is sent to the store. */
  CONFIGURATION,
  /** A back end says that it is about to leave, and is replaced. */
  DRAIN
}
