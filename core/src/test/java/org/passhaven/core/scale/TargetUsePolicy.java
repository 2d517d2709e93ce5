package org.passhaven.core.scale;

/** A target use of the servers' slots with hysteresis, as a comparison for the chosen policy. */
final class TargetUsePolicy implements CapacityPolicy {
  private static final double HIGH_USE = 0.8;
  private static final double TARGET_USE = 0.6;
  private static final double SMOOTHING = 0.1;
  private final int slots;
  private double use;
  private long lastIncreaseMillis = Long.MIN_VALUE / 2;

  TargetUsePolicy(int slots) {
    this.slots = slots;
  }

  @Override
  public int requiredServers(Load load, long nowMillis) {
    double now = Math.min(1, (double) load.openItems() / Math.max(1, load.servers() * slots));
    use += SMOOTHING * (now - use);
    boolean mayHaveEffect = nowMillis - lastIncreaseMillis >= load.leadMillis();
    return use > HIGH_USE && mayHaveEffect
        ? (int) Math.ceil((load.servers() + load.comingServers()) * use / TARGET_USE)
        : 0;
  }

  @Override
  public void onIncrease(long nowMillis) {
    lastIncreaseMillis = nowMillis;
  }
}
