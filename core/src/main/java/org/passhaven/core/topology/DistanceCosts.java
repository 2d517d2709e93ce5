package org.passhaven.core.topology;

/**
 * Costs of sending work over a distance. A server of another region costs more than one of another
 * zone, as far as its round trip is longer, and less than a server without a free slot.
 *
 * @param otherRegionSlots cost of another region, as a fraction of the cost of having all slots of
 *     a server in use
 * @param otherRegionMillis cost of another region for a generation, in milliseconds
 */
public record DistanceCosts(double otherRegionSlots, double otherRegionMillis) {
  /**
   * Cost of another zone of the region, as a fraction of the cost of having all slots of a server
   * in use.
   */
  private static final double SAME_REGION_SLOTS = 0.15;

  /** Cost of another zone of the region for a generation. */
  private static final double SAME_REGION_MILLIS = 15;

  /** Round trip to another region relative to that to another zone, while it is not measured. */
  private static final double REGION_FACTOR = 3;

  /** Minimum cost of another region relative to that of another zone. */
  private static final double MIN_REGION_FACTOR = 2;

  /** Maximum cost in slots: a full server of the own region must cost more. */
  private static final double MAX_OTHER_REGION_SLOTS = 0.9;

  /** The costs while no round trip to another region is measured. */
  public static final DistanceCosts ESTIMATED =
      new DistanceCosts(REGION_FACTOR * SAME_REGION_SLOTS, REGION_FACTOR * SAME_REGION_MILLIS);

  /**
   * Returns the costs that follow from measured latencies of the same work.
   *
   * @param ownLatencyMillis latency in the own region; zero if unknown
   * @param otherLatencyMillis latency in other regions; zero if unknown
   */
  public static DistanceCosts measured(double ownLatencyMillis, double otherLatencyMillis) {
    if (ownLatencyMillis <= 0 || otherLatencyMillis <= 0) {
      return ESTIMATED;
    }
    double addedMillis = Math.max(0, otherLatencyMillis - ownLatencyMillis);
    // A request that takes longer by some fraction occupies its slot longer by that fraction.
    double slots = SAME_REGION_SLOTS + addedMillis / ownLatencyMillis;
    return new DistanceCosts(
        Math.min(MAX_OTHER_REGION_SLOTS, Math.max(MIN_REGION_FACTOR * SAME_REGION_SLOTS, slots)),
        Math.max(MIN_REGION_FACTOR * SAME_REGION_MILLIS, SAME_REGION_MILLIS + addedMillis));
  }

  /** Returns the cost for a request, as a fraction of the cost of having all slots in use. */
  public double slots(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> SAME_REGION_SLOTS;
      case OTHER_REGION -> otherRegionSlots;
    };
  }

  /** Returns the cost for a generation in milliseconds. */
  public double millis(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> SAME_REGION_MILLIS;
      case OTHER_REGION -> otherRegionMillis;
    };
  }
}
