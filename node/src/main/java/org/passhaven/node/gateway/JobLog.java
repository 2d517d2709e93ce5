package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import net.openhft.hashing.LongHashFunction;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobTable;
import org.passhaven.core.job.RunOwners;
import org.passhaven.core.member.HeartbeatTable;
import org.passhaven.node.follow.HistoryReadQueue;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Follows all partitions of the job log, applies their records to the {@link JobTable}, and appends
 * records to them. Not thread-safe.
 */
public final class JobLog {
  private static final Logger LOG = LoggerFactory.getLogger(JobLog.class);
  private static final String STREAM_PREFIX = "jobs.";
  private static final String TEXT_STREAM_PREFIX = "results.";
  private static final long OWNER_POLL_INTERVAL_MILLIS = 15;
  private static final long FOLLOWER_POLL_INTERVAL_MILLIS = 100;

  /** Poll interval where this node has no recent callers and is not on standby. */
  private static final long IDLE_POLL_INTERVAL_MILLIS = 2_000;

  /**
   * Time after a call for which the caller is expected to wait here or to call again: a call waits
   * for a second, and callers read twice a second, each time at a random node. In a large fleet, a
   * caller that came earlier is at another node by now; any call has the log read on demand.
   */
  private static final long RECENT_CALL_MILLIS = 1_200;

  /**
   * Number of first candidates for a partition that poll it as followers. Lower candidates poll at
   * {@link #IDLE_POLL_INTERVAL_MILLIS} and may append void claims of runs that were just claimed.
   */
  private static final int STANDBY_NODES = 6;

  private static final long RANKING_PERIOD_MILLIS = 2_000;
  private static final long CLEANUP_PERIOD_MILLIS = 10_000;

  /** Period of the check for claims to renew. */
  private static final long RENEWAL_PERIOD_MILLIS = 1_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private final GatewayContext context;
  private final HistoryReadQueue history;
  private final ResultTextCache texts;
  private final JobTable table = new JobTable();
  private final long[] lastCallAtMillis;
  private final BitSet standbyPartitions = new BitSet();
  private long lastRankedAtMillis = NEVER_MILLIS;
  private HeartbeatTable heartbeats;
  private boolean isRenewing;
  private final RunOwners owners;
  private final List<LogTail> tails = new ArrayList<>();
  private final PartitionStartScheduler startScheduler;
  private final Set<String> ownStreams = new HashSet<>();
  private final List<Runnable> ownerListeners = new ArrayList<>();
  private final List<BiConsumer<JobRecord.OfJob, JobTable.Effect>> listeners = new ArrayList<>();

  /** Creates the log; {@link #start} starts to follow it. */
  public JobLog(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
    this.history = new HistoryReadQueue(context.log(), context.timers());
    this.texts = new ResultTextCache(context);
    this.owners = new RunOwners(context.settings().node(), context.incarnation(), this::streamOf);
    int partitions = context.settings().jobPartitions();
    this.lastCallAtMillis = new long[partitions];
    Arrays.fill(lastCallAtMillis, Long.MIN_VALUE / 2);
    for (int partition = 0; partition < partitions; partition++) {
      int followed = partition;
      tails.add(
          new LogTail(
              context.log(),
              context.timers(),
              history,
              STREAM_PREFIX + partition,
              () -> pollIntervalMillis(followed),
              new PartitionReader(followed)));
    }
    this.startScheduler = new PartitionStartScheduler(context, tails);
  }

  /** Applies the records of one partition. */
  private final class PartitionReader implements LogTail.Listener {
    private final int partition;

    PartitionReader(int partition) {
      this.partition = partition;
    }

    @Override
    public void onRecord(byte[] record) {
      JobLog.this.onRecord(partition, record);
    }

    @Override
    public void onGap(long nextOffset) {
      owners.onGap(STREAM_PREFIX + partition);
      refreshOwnStreams();
      ownerListeners.forEach(Runnable::run);
    }
  }

  /** Returns the poll interval of a partition, the shortest one for an owner of its runs. */
  private long pollIntervalMillis(int partition) {
    if (ownStreams.contains(STREAM_PREFIX + partition)) {
      return OWNER_POLL_INTERVAL_MILLIS;
    }
    boolean hasRecentCaller =
        context.nowMillis() - lastCallAtMillis[partition] < RECENT_CALL_MILLIS;
    return hasRecentCaller || isStandby(partition)
        ? FOLLOWER_POLL_INTERVAL_MILLIS
        : IDLE_POLL_INTERVAL_MILLIS;
  }

  /** Returns whether this node owns any run. */
  boolean ownsAnyRun() {
    return !ownStreams.isEmpty();
  }

  /** Returns whether a caller recently used this node for a job. */
  boolean hasRecentCallers() {
    return Arrays.stream(lastCallAtMillis)
        .anyMatch(callAtMillis -> context.nowMillis() - callAtMillis < RECENT_CALL_MILLIS);
  }

  /** Returns whether this node is on standby for a run with open jobs. */
  boolean isStandbyForOpenJobs() {
    return heartbeats != null
        && table.openJobs().stream()
            .anyMatch(job -> isStandby(partitionOf(job.submission().run())));
  }

  /** Returns whether this node is among the first candidates to take over a run. */
  boolean isStandby(String run) {
    return isStandby(partitionOf(run));
  }

  private boolean isStandby(int partition) {
    if (context.nowMillis() - lastRankedAtMillis >= RANKING_PERIOD_MILLIS) {
      lastRankedAtMillis = context.nowMillis();
      standbyPartitions.clear();
      for (int index = 0; index < tails.size(); index++) {
        String node = context.settings().node();
        standbyPartitions.set(
            index, heartbeats.rankForKey(STREAM_PREFIX + index, node) < STANDBY_NODES);
      }
    }
    return standbyPartitions.get(partition);
  }

  /** Polls a run's partition more often for a while, after a call for one of its jobs. */
  void onCallerRequest(String run) {
    int partition = partitionOf(run);
    lastCallAtMillis[partition] = context.nowMillis();
    tails.get(partition).endReadPause();
  }

  /**
   * Starts to follow all partitions from offset zero, in the order of {@link
   * PartitionStartScheduler}.
   *
   * @param liveNodes live nodes, among which candidates are ranked
   */
  public void start(HeartbeatTable liveNodes) {
    if (heartbeats != null) {
      return;
    }
    heartbeats = Objects.requireNonNull(liveNodes, "liveNodes");
    startScheduler.schedule(heartbeats);
    context.timers().every(CLEANUP_PERIOD_MILLIS, this::removeExpiredJobs);
  }

  /** Ranks the candidates again and starts or polls earlier, after other nodes were lost. */
  void rescheduleReads() {
    if (heartbeats != null) {
      lastRankedAtMillis = NEVER_MILLIS;
      startScheduler.schedule(heartbeats);
      tails.forEach(LogTail::endReadPause);
    }
  }

  /** Appends this node's claims again before the log's retention drops them. */
  private void renewClaims() {
    isRenewing = ownsAnyRun();
    if (isRenewing) {
      context.timers().after(RENEWAL_PERIOD_MILLIS, this::renewClaims);
    }
    long renewMillis = context.settings().lease().renewAfterMillis();
    for (JobRecord.RunClaimed claim :
        owners.renewals(renewMillis, this::positionOf, context.nowMillis())) {
      append(streamOf(claim.run()), List.of(Codec.encode(claim)))
          .subscribe()
          .with(
              offset -> {},
              failure ->
                  LOG.atInfo()
                      .addKeyValue("run", claim.run())
                      .addKeyValue("reason", PlatformException.from(failure).getMessage())
                      .log("job: a claim could not be renewed"));
    }
  }

  private long positionOf(String stream) {
    return tails.get(Integer.parseInt(stream.substring(STREAM_PREFIX.length()))).nextOffset();
  }

  /** Returns the claim to append if this node is the next owner of a run. */
  Optional<JobRecord.RunClaimed> claim(String run) {
    return owners.claim(run, heartbeats, positionOf(streamOf(run)), context.nowMillis());
  }

  /** Adds a listener that receives each record that changed a job. */
  public void addListener(BiConsumer<JobRecord.OfJob, JobTable.Effect> listener) {
    listeners.add(listener);
  }

  /** Adds a listener that runs when the owner of a run may have changed. */
  public void addOwnerListener(Runnable listener) {
    ownerListeners.add(listener);
  }

  /** Returns the reads of history that this node's components share. */
  HistoryReadQueue history() {
    return history;
  }

  /** Returns the cache of result texts. */
  ResultTextCache texts() {
    return texts;
  }

  /** Returns the owners of runs. */
  public RunOwners owners() {
    return owners;
  }

  /** Returns all known jobs. */
  public JobTable table() {
    return table;
  }

  /** Returns whether all partitions were read to their ends once. */
  public boolean isCaughtUp() {
    return tails.stream().allMatch(LogTail::isCaughtUp);
  }

  /** Returns whether the partition of a run was read to its end once. */
  public boolean isCaughtUp(String run) {
    return tails.get(partitionOf(run)).isCaughtUp();
  }

  /** Returns the streams never read to their ends, with the time since the log last answered. */
  public Map<String, String> laggingStreams() {
    Map<String, String> laggingStreams = new LinkedHashMap<>();
    for (LogTail tail : tails) {
      if (!tail.isCaughtUp()) {
        OptionalLong silent = tail.millisSinceLastRead();
        laggingStreams.put(
            tail.stream(), silent.isPresent() ? silent.getAsLong() + " ms" : "no answer yet");
      }
    }
    return laggingStreams;
  }

  /** Returns the time since all partitions were last read; empty if one was not read yet. */
  public OptionalLong ageMillis() {
    long oldestMillis = 0;
    for (LogTail tail : tails) {
      OptionalLong silent = tail.millisSinceLastRead();
      if (silent.isEmpty() || !tail.isCaughtUp()) {
        return OptionalLong.empty();
      }
      oldestMillis = Math.max(oldestMillis, silent.getAsLong());
    }
    return OptionalLong.of(oldestMillis);
  }

  /** Returns the number of items without a result in open jobs, by model. */
  public Map<String, Integer> openItemsByModel() {
    Map<String, Integer> open = new HashMap<>();
    for (Job job : table.openJobs()) {
      open.merge(job.submission().model(), job.openItemCount(), Integer::sum);
    }
    return open;
  }

  /** Returns the stream that holds a run's jobs. */
  public String streamOf(String run) {
    return STREAM_PREFIX + partitionOf(run);
  }

  /** Returns the stream that holds the texts of a run's results. */
  public String textStreamOf(String run) {
    return TEXT_STREAM_PREFIX + partitionOf(run);
  }

  private int partitionOf(String run) {
    return Math.floorMod(HASH.hashChars(run), tails.size());
  }

  /** Appends encoded records to a stream. */
  public Uni<Long> append(String stream, List<byte[]> records) {
    return context.log().append(stream, records);
  }

  /**
   * Reads all partitions on demand. Returns true if each was read to an end that is later than the
   * call, so that a job still unknown here did not exist at that time.
   */
  public Uni<Boolean> refresh() {
    List<Uni<Boolean>> refreshed = tails.stream().map(LogTail::refresh).toList();
    return Uni.join()
        .all(refreshed)
        .andFailFast()
        .map(all -> all.stream().allMatch(Boolean::booleanValue));
  }

  /**
   * Reads a run's partition on demand. Returns true if it was read to an end that is later than the
   * call.
   */
  public Uni<Boolean> refresh(String run) {
    return tails.get(partitionOf(run)).refresh();
  }

  private void onRecord(int partition, byte[] bytes) {
    JobRecord record;
    try {
      record = Codec.decode(bytes, JobRecord.class);
    } catch (CodecException e) {
      LOG.atError().addKeyValue("reason", e.getMessage()).log("job: a record can't be read");
      return;
    }
    if (record instanceof JobRecord.RunClaimed claim) {
      onRunClaimed(claim, tails.get(partition).nextOffset() - 1);
    } else if (record instanceof JobRecord.OfJob ofJob) {
      onJobRecord(ofJob);
    }
  }

  private void onRunClaimed(JobRecord.RunClaimed claim, long offset) {
    // A claim read during the initial catch-up does not prove that the owner is alive now.
    boolean isLive = tails.get(partitionOf(claim.run())).isCaughtUp();
    if (owners.apply(claim, offset, isLive ? context.nowMillis() : NEVER_MILLIS)) {
      LOG.atLevel(eventLogLevel())
          .addKeyValue("run", claim.run())
          .addKeyValue("epoch", claim.epoch())
          .addKeyValue("runner", claim.node())
          .log("job: run taken");
      refreshOwnStreams();
      ownerListeners.forEach(Runnable::run);
    }
  }

  /** Returns the level for log lines: old events replayed at startup are logged at debug. */
  private Level eventLogLevel() {
    return isCaughtUp() ? Level.INFO : Level.DEBUG;
  }

  private void refreshOwnStreams() {
    ownStreams.clear();
    owners.ownedRuns().forEach(run -> ownStreams.add(streamOf(run)));
    if (!isRenewing && ownsAnyRun()) {
      isRenewing = true;
      context.timers().after(RENEWAL_PERIOD_MILLIS, this::renewClaims);
    }
  }

  private void onJobRecord(JobRecord.OfJob record) {
    JobTable.Effect effect = table.apply(record, context.nowMillis());
    if (effect == JobTable.Effect.IGNORED) {
      return;
    }
    if (effect == JobTable.Effect.UNDECODABLE) {
      LOG.atError().addKeyValue("job", record.job()).log("job: its pieces can't be decoded");
      return;
    }
    logEffect(record, effect);
    listeners.forEach(listener -> listener.accept(record, effect));
  }

  private void logEffect(JobRecord.OfJob record, JobTable.Effect effect) {
    if (effect == JobTable.Effect.RESULT_RECORDED) {
      return;
    }
    Job job = table.get(record.job());
    LOG.atLevel(eventLogLevel())
        .addKeyValue("job", record.job())
        .addKeyValue("run", job.submission().run())
        .addKeyValue("step", job.submission().step())
        .addKeyValue("items", job.itemCount())
        .addKeyValue("listed", job.results().size())
        .log(effect == JobTable.Effect.ACCEPTED ? "job: accepted" : "job: ended");
  }

  private void removeExpiredJobs() {
    table.removeClosedJobs(context.nowMillis() - context.settings().jobRetention().toMillis());
  }
}
