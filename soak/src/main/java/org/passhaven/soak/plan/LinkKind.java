package org.passhaven.soak.plan;

/** Which links of a node a disruption concerns. */
public enum LinkKind {
  /** The node's connections to the store. */
  STORE,
  /** The connections of all nodes to one back end. */
  BACK_END,
  /** The connections of callers to the node. */
  CALLERS
}
