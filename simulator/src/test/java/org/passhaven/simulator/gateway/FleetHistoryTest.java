package org.passhaven.simulator.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.node.gateway.GatewayContext;
import org.passhaven.node.gateway.GatewayMetrics;
import org.passhaven.node.gateway.GatewaySettings;
import org.passhaven.node.gateway.JobLog;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.DutyService;

/**
 * All nodes of a large fleet start at the same moment and read the whole history of jobs, over
 * links of which most are slow. Until a node has read it, callers can't read jobs there.
 */
class FleetHistoryTest {
  private static final int NODES = 80;
  private static final int PARTITIONS = 4;
  private static final int RECORD_BYTES = 6_000;
  private static final int SUBMISSION_BYTES = 165_000;
  private static final int RESULT_BYTES = 128;
  private static final int ITEMS_A_JOB = 112;
  private static final long STORE_BYTES_PER_MILLI = 80_000;
  private static final long SLOW_LINK_BYTES_PER_MILLI = 7_500;
  private static final long FAST_LINK_BYTES_PER_MILLI = 75_000;

  /** The last candidates for a partition begin to read it this late. */
  private static final long LATEST_START_MILLIS = 2_000;

  /** Each fourth node has a fast link, as on the users' grown deployments. */
  private static final int FAST_ONE_IN = 4;

  private final VirtualTime time = new VirtualTime();
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
  private final SimulatedStore store = new SimulatedStore(time, random);
  private final GatewayChecker checker = new GatewayChecker(3_000);
  private final SimulatedServers servers =
      new SimulatedServers(
          time,
          random,
          checker,
          List.of("a", "b", "c"),
          new CrashingRequests(time, checker, server -> {}, node -> false, item -> false));
  private final HeartbeatTable beats = new HeartbeatTable(1_600);
  private final List<JobLog> logs = new ArrayList<>();

  private void fill(int partition, int megabytes) {
    // Its epoch is not the next one, so nothing is kept of the record: only reading it costs.
    byte[] bytes = recordOf(RECORD_BYTES);
    store.fill(
        "jobs." + partition, Collections.nCopies(megabytes * 1_000_000 / RECORD_BYTES, bytes));
  }

  /** Jobs as trainers hand them in, each with its results: records of very different sizes. */
  private void fillJobs(int partition, int jobs, int submissionsAtFirst) {
    byte[] submission = recordOf(SUBMISSION_BYTES);
    byte[] result = recordOf(RESULT_BYTES);
    List<byte[]> records = new ArrayList<>();
    for (int job = 0; job < jobs; job++) {
      records.add(submission);
      if (job + 1 >= submissionsAtFirst) {
        records.addAll(Collections.nCopies(ITEMS_A_JOB, result));
      }
    }
    store.fill("jobs." + partition, records);
  }

  private static byte[] recordOf(int bytes) {
    return Codec.encode(new JobRecord.RunClaimed("run", 0, "n".repeat(bytes), 0, 0));
  }

  private void start(int node) {
    String name = "n" + node;
    beats.onHeartbeat(
        new MemberBeat(name, name + ":1", zoneOf(node), 1, true, 0, 0, 0, 0), time.nowMillis());
    SimulatedProcess process = new SimulatedProcess(time, name, zoneOf(node));
    long incarnation = process.start();
    boolean isFast = node % FAST_ONE_IN == 0;
    SimulatedStore.Client client =
        store.clientOf(process, isFast ? FAST_LINK_BYTES_PER_MILLI : SLOW_LINK_BYTES_PER_MILLI);
    GatewaySettings settings =
        new GatewaySettings(
            name,
            zoneOf(node),
            name + ":1",
            PARTITIONS,
            Duration.ofMillis(500),
            Duration.ofMillis(1_600),
            Duration.ofMillis(100),
            new DutyLease.Settings(1_000, 4_200, 3_100, 2_000, 400, 75_000),
            new ConcurrentLoadLimit(2, 0.3),
            Duration.ofSeconds(2),
            Duration.ofSeconds(150),
            262_144,
            2_097_152,
            Optional.empty(),
            0);
    logs.add(
        new JobLog(
            new GatewayContext(
                settings,
                incarnation,
                process.timers(),
                random::nextInt,
                client,
                client,
                servers.clientOf(process),
                DutyService.NONE,
                new SimulatedDocuments(),
                new GatewayMetrics(new SimpleMeterRegistry()))));
  }

  private static String zoneOf(int node) {
    return List.of("a", "b", "c").get(node % 3);
  }

  private List<Integer> behind() {
    List<Integer> behind = new ArrayList<>();
    for (int node = 0; node < logs.size(); node++) {
      if (!logs.get(node).isCaughtUp()) {
        behind.add(node);
      }
    }
    return behind;
  }

  private void playUntil(long millis) {
    boolean more = true;
    while (more && !behind().isEmpty()) {
      more = time.runNext(millis * VirtualTime.MICROS_PER_MILLI);
    }
  }

  private void playStart(long wholeBytes) {
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
    logs.forEach(log -> log.start(beats));
    store.setReadBandwidth(STORE_BYTES_PER_MILLI);
    long neededMillis = wholeBytes * NODES / STORE_BYTES_PER_MILLI;
    playUntil(LATEST_START_MILLIS + neededMillis * 3 / 2);
    assertThat("nodes behind after " + time.nowMillis() + " ms", behind(), empty());
    assertThat(store.readBytes(), lessThan(wholeBytes * NODES * 5 / 4));
  }

  @Test
  void everyNodeReadsTheHistoryInAboutTheTimeThatTheStoreNeedsForIt() {
    fill(0, 7);
    fill(1, 5);
    fill(2, 4);
    playStart(16_000_000);
  }

  @Test
  void aHistoryThatBeginsWithTwoSubmissionsIsReadOnce() {
    fillJobs(0, 12, 2);
    playStart(12 * (SUBMISSION_BYTES + ITEMS_A_JOB * RESULT_BYTES));
  }

  @Test
  void aHistoryOfManySubmissionsIsReadOnce() {
    fillJobs(0, 24, 5);
    fillJobs(1, 12, 1);
    playStart(36 * (SUBMISSION_BYTES + ITEMS_A_JOB * RESULT_BYTES));
  }
}
