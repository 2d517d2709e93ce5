package org.passhaven.soak.check;

/**
 * The times that bind, in ms, as the users' rules name them.
 *
 * @param contactMillis calm after which a node counts as in touch
 * @param settleMillis time after which an acceptance or a position must be known everywhere
 * @param statusMillis time after its first send for which a job can be read
 * @param cancelMillis time after which an end has reached the back ends
 * @param ackMillis time after which an end without an answer counts as acknowledged
 * @param drainMillis time after which a drain has reached the senders
 * @param configApplyMillis time after which a configuration is in force
 * @param evacuateMillis time after which an evacuation has reached the senders
 * @param leaseMillis time between orders of two holders
 * @param thawMillis time after a thaw in which late orders are left out
 * @param lossSlackMillis time after a request was sent by which a node has read it
 * @param recoverMillis calm after which a node must be able to tell of every job; the soak's own,
 *     longer than the users' time of recovery
 * @param versionsBehind how far behind the newest version that is named when a job is made the
 *     versions of its texts may be; the trainers' figure
 */
public record Bounds(
    long contactMillis,
    long settleMillis,
    long statusMillis,
    long cancelMillis,
    long ackMillis,
    long drainMillis,
    long configApplyMillis,
    long evacuateMillis,
    long leaseMillis,
    long thawMillis,
    long lossSlackMillis,
    long recoverMillis,
    long versionsBehind) {
  /** The figures of the example on the platform's page on deployment. */
  public static Bounds usual() {
    return new Bounds(
        3_000, 1_000, 120_000, 3_000, 4_000, 2_000, 2_000, 5_000, 3_000, 300, 200, 30_000, 1);
  }

  /** The same with another time for which jobs can be read. */
  public Bounds withStatusMillis(long millis) {
    return new Bounds(
        contactMillis,
        settleMillis,
        millis,
        cancelMillis,
        ackMillis,
        drainMillis,
        configApplyMillis,
        evacuateMillis,
        leaseMillis,
        thawMillis,
        lossSlackMillis,
        recoverMillis,
        versionsBehind);
  }

  /** The same with another time of recovery. */
  public Bounds withRecoverMillis(long millis) {
    return new Bounds(
        contactMillis,
        settleMillis,
        statusMillis,
        cancelMillis,
        ackMillis,
        drainMillis,
        configApplyMillis,
        evacuateMillis,
        leaseMillis,
        thawMillis,
        lossSlackMillis,
        millis,
        versionsBehind);
  }

  /** The same with another bound of versions. */
  public Bounds withVersionsBehind(long versions) {
    return new Bounds(
        contactMillis,
        settleMillis,
        statusMillis,
        cancelMillis,
        ackMillis,
        drainMillis,
        configApplyMillis,
        evacuateMillis,
        leaseMillis,
        thawMillis,
        lossSlackMillis,
        recoverMillis,
        versions);
  }
}
