package org.passhaven.soak.run;

/**
 * How much a run loads the system and its links.
 *
 * @param trainers trainers, each with its own model and model servers
 * @param groups groups of a job
 * @param itemsAGroup items of a group
 * @param ahead jobs that a trainer has open at once
 * @param bodyBytes size of an item's body
 * @param eventCharacters size of one event of a text
 * @param callers callers of plain requests
 * @param statusSeconds how long after its first send an ended job must be readable
 * @param storeAgeSeconds age after which the store drops records
 * @param storeLinkMegabits bandwidth of each node's link to the store, each way, in Mbit/s; 0 for
 *     none
 * @param storeReadMegabytes bandwidth that all reads of the store share, in MB/s
 * @param recoverSeconds calm after which a node must be able to tell of every job
 */
public record SoakLoad(
    int trainers,
    int groups,
    int itemsAGroup,
    int ahead,
    int bodyBytes,
    int eventCharacters,
    int callers,
    int statusSeconds,
    int storeAgeSeconds,
    double storeLinkMegabits,
    double storeReadMegabytes,
    int recoverSeconds) {
  // The age of the example on the platform's page on deployment.
  private static final int STORE_AGE_SECONDS = 300;

  // Twice recoverS of the sheets, and what two questions to a busy node take.
  private static final int RECOVER_SECONDS = 30;

  /** Checks. */
  public SoakLoad {
    if (trainers < 1 || groups < 1 || itemsAGroup < 1 || ahead < 1 || callers < 0) {
      throw new IllegalArgumentException("a soak needs trainers, groups and items");
    }
    if (bodyBytes < 1
        || eventCharacters < 1
        || statusSeconds < 1
        || storeAgeSeconds < 1
        || recoverSeconds < 1) {
      throw new IllegalArgumentException("sizes and times of a soak begin at 1");
    }
    if (storeLinkMegabits < 0 || !(storeReadMegabytes > 0)) {
      throw new IllegalArgumentException("bandwidths of a soak must not be negative");
    }
  }

  /** Small jobs and texts, and links without a limit. */
  public static SoakLoad small() {
    return new SoakLoad(1, 6, 4, 1, 400, 80, 4, 120, STORE_AGE_SECONDS, 0, 80, RECOVER_SECONDS);
  }

  /** Many results with texts of kilobytes, behind links that feel them. */
  public static SoakLoad large() {
    // 50 Mbit/s: between the 42 and 60 that the large deployments leave to a machine.
    return new SoakLoad(
        3, 12, 4, 2, 2_000, 400, 6, 120, STORE_AGE_SECONDS, 50, 80, RECOVER_SECONDS);
  }
}
