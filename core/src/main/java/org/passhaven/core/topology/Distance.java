package org.passhaven.core.topology;

/** Network distance between two zones, in ascending order. */
public enum Distance {
  /** Both ends are in the same zone. */
  SAME_ZONE,
  /** The ends are in different zones of one region. */
  SAME_REGION,
  /** The ends are in different regions. */
  OTHER_REGION
}
