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
import org.passhaven.core.member.BeatTable;
import org.passhaven.node.follow.HistoryReads;
import org.passhaven.node.follow.LogTail;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** The jobs' partitions: follows them all into one fold, and appends to them. */
public final class JobLog {
  private static final Logger LOG = LoggerFactory.getLogger(JobLog.class);
  private static final String STREAM_PREFIX = "jobs.";
  private static final String TEXT_STREAM_PREFIX = "results.";
  private static final long RUNNER_PAUSE_MILLIS = 15;
  private static final long FOLLOWER_PAUSE_MILLIS = 100;

  /** Pause where neither a caller nor a coming owner needs news: reads on demand look for it. */
  private static final long IDLE_PAUSE_MILLIS = 2_000;

  /**
   * A caller that came this lately still waits here, or is likely to come again: a call waits for a
   * second, and trainers read twice a second, each time at a node by chance. In a large fleet one
   * that came earlier is at another node by now; whoever comes has the log read on demand.
   */
  private static final long CALLED_MILLIS = 1_200;

  /**
   * Candidates behind these may claim a run that was taken less than {@link #IDLE_PAUSE_MILLIS}
   * ago, since they have not read so yet: their claims are void, a few appends for each new run.
   */
  private static final int CLOSE_CANDIDATES = 6;

  private static final long RANK_AGAIN_MILLIS = 2_000;
  private static final long FORGET_PERIOD_MILLIS = 10_000;

  /**
   * Below the age at which claims are renewed where the log keeps records for some seconds only.
   */
  private static final long RENEWAL_PERIOD_MILLIS = 1_000;

  private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private final GatewayContext context;
  private final HistoryReads history;
  private final ResultTexts texts;
  private final JobTable table = new JobTable();
  private final long[] calledAtMillis;
  private final BitSet closeTo = new BitSet();
  private long rankedAtMillis = LONG_AGO_MILLIS;
  private BeatTable beats;
  private final RunOwners owners;
  private final List<LogTail> tails = new ArrayList<>();
  private final PartitionStarts starts;
  private final Set<String> ownStreams = new HashSet<>();
  private final List<Runnable> ownerListeners = new ArrayList<>();
  private final List<BiConsumer<JobRecord.OfJob, JobTable.Effect>> listeners = new ArrayList<>();

  /** Creates the log; {@link #start} begins to follow it. */
  public JobLog(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
    this.history = new HistoryReads(context.log(), context.timers());
    this.texts = new ResultTexts(context);
    this.owners = new RunOwners(context.settings().node(), context.incarnation(), this::streamOf);
    int partitions = context.settings().jobPartitions();
    this.calledAtMillis = new long[partitions];
    Arrays.fill(calledAtMillis, Long.MIN_VALUE / 2);
    for (int partition = 0; partition < partitions; partition++) {
      int followed = partition;
      tails.add(
          new LogTail(
              context.log(),
              context.timers(),
              history,
              STREAM_PREFIX + partition,
              () -> pauseMillis(followed),
              new PartitionReader(followed)));
    }
    this.starts = new PartitionStarts(context, tails);
  }

  /** Reads one partition. */
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

  /** A node that runs nothing of a partition reads it less often, the less it is asked for it. */
  private long pauseMillis(int partition) {
    if (ownStreams.contains(STREAM_PREFIX + partition)) {
      return RUNNER_PAUSE_MILLIS;
    }
    boolean isCalled = context.now() - calledAtMillis[partition] < CALLED_MILLIS;
    return isCalled || isCloseCandidate(partition) ? FOLLOWER_PAUSE_MILLIS : IDLE_PAUSE_MILLIS;
  }

  /** Whether this node runs some run. */
  boolean isRunner() {
    return !ownStreams.isEmpty();
  }

  /** Whether a caller has lately come to this node for a job. */
  boolean isCalled() {
    return Arrays.stream(calledAtMillis)
        .anyMatch(atMillis -> context.now() - atMillis < CALLED_MILLIS);
  }

  /** Whether this node is among the first that would take over a run with open jobs. */
  boolean isNextRunner() {
    return beats != null
        && table.open().stream()
            .anyMatch(job -> isCloseCandidate(partitionOf(job.submission().run())));
  }

  /** Whether this node is among the first that would take over a run. */
  boolean isCloseCandidate(String run) {
    return isCloseCandidate(partitionOf(run));
  }

  private boolean isCloseCandidate(int partition) {
    if (context.now() - rankedAtMillis >= RANK_AGAIN_MILLIS) {
      rankedAtMillis = context.now();
      closeTo.clear();
      for (int each = 0; each < tails.size(); each++) {
        String node = context.settings().node();
        closeTo.set(each, beats.rankOf(STREAM_PREFIX + each, node) < CLOSE_CANDIDATES);
      }
    }
    return closeTo.get(partition);
  }

  /** A caller has come for a job of a run: its partition is followed closely for a while. */
  void onCall(String run) {
    int partition = partitionOf(run);
    calledAtMillis[partition] = context.now();
    tails.get(partition).hurry();
  }

  /**
   * Begins to follow all partitions from their beginnings, in the order of {@link PartitionStarts}.
   *
   * @param liveNodes live nodes, by which candidates are ranked
   */
  public void start(BeatTable liveNodes) {
    if (beats != null) {
      return;
    }
    beats = Objects.requireNonNull(liveNodes, "liveNodes");
    starts.schedule(beats);
    context.timers().every(FORGET_PERIOD_MILLIS, this::forget);
    context.timers().every(RENEWAL_PERIOD_MILLIS, this::renewClaims);
  }

  /** The nodes behind which this one waited to read are gone. */
  void startSooner() {
    if (beats != null) {
      rankedAtMillis = LONG_AGO_MILLIS;
      starts.schedule(beats);
      tails.forEach(LogTail::hurry);
    }
  }

  /** Claims of this node are written again before the log drops them. */
  private void renewClaims() {
    long renewMillis = context.settings().lease().renewMillis();
    for (JobRecord.RunTaken claim : owners.renewals(renewMillis, this::positionOf, context.now())) {
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
    return tails.get(Integer.parseInt(stream.substring(STREAM_PREFIX.length()))).position();
  }

  /** The record to append if this node is to take a run now. */
  Optional<JobRecord.RunTaken> claim(String run) {
    return owners.claim(run, beats, positionOf(streamOf(run)), context.now());
  }

  /** Calls {@code listener} with each record that changed a job. */
  public void addListener(BiConsumer<JobRecord.OfJob, JobTable.Effect> listener) {
    listeners.add(listener);
  }

  /** Calls {@code listener} when a run has got another runner. */
  public void addOwnerListener(Runnable listener) {
    ownerListeners.add(listener);
  }

  /** This node's reads of history. */
  HistoryReads history() {
    return history;
  }

  /** Texts of results. */
  ResultTexts texts() {
    return texts;
  }

  /** Which node runs which run. */
  public RunOwners owners() {
    return owners;
  }

  /** All jobs. */
  public JobTable table() {
    return table;
  }

  /** Whether all partitions were read to their ends once. */
  public boolean isCaughtUp() {
    return tails.stream().allMatch(LogTail::isCaughtUp);
  }

  /** Whether the partition that holds a run's jobs was read to its end once. */
  public boolean isCaughtUp(String run) {
    return tails.get(partitionOf(run)).isCaughtUp();
  }

  /** Partitions that were never read to their ends, and how long the log has not answered there. */
  public Map<String, String> behind() {
    Map<String, String> behind = new LinkedHashMap<>();
    for (LogTail tail : tails) {
      if (!tail.isCaughtUp()) {
        OptionalLong silent = tail.silentMillis();
        behind.put(
            tail.stream(), silent.isPresent() ? silent.getAsLong() + " ms" : "no answer yet");
      }
    }
    return behind;
  }

  /** Items without a result in open jobs, by the model that generates them. */
  public Map<String, Integer> openItemsByModel() {
    Map<String, Integer> open = new HashMap<>();
    for (Job job : table.open()) {
      open.merge(job.submission().model(), job.openItems(), Integer::sum);
    }
    return open;
  }

  /** The stream that holds a run's jobs. */
  public String streamOf(String run) {
    return STREAM_PREFIX + partitionOf(run);
  }

  /** The stream that holds the texts of a run's results. */
  public String textStreamOf(String run) {
    return TEXT_STREAM_PREFIX + partitionOf(run);
  }

  private int partitionOf(String run) {
    return Math.floorMod(HASH.hashChars(run), tails.size());
  }

  /** Appends records that are encoded already. */
  public Uni<Long> append(String stream, List<byte[]> records) {
    return context.log().append(stream, records);
  }

  /**
   * Looks whether a job exists that is not known here. Gives whether the answer is sure: every
   * partition was read to an end later than the call.
   */
  public Uni<Boolean> refresh() {
    List<Uni<Boolean>> refreshed = tails.stream().map(LogTail::refresh).toList();
    return Uni.join()
        .all(refreshed)
        .andFailFast()
        .map(all -> all.stream().allMatch(Boolean::booleanValue));
  }

  /**
   * Looks for records of a run that are not known here. Gives whether the answer is sure: its
   * partition was read to an end later than the call.
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
    if (record instanceof JobRecord.RunTaken taken) {
      onTaken(taken, tails.get(partition).position() - 1);
    } else if (record instanceof JobRecord.OfJob ofJob) {
      onJobRecord(ofJob);
    }
  }

  private void onTaken(JobRecord.RunTaken taken, long offset) {
    // What this node was told at its start is no sign that the runner is alive now.
    boolean isNews = tails.get(partitionOf(taken.run())).isCaughtUp();
    if (owners.apply(taken, offset, isNews ? context.now() : LONG_AGO_MILLIS)) {
      LOG.atLevel(newsLevel())
          .addKeyValue("run", taken.run())
          .addKeyValue("epoch", taken.epoch())
          .addKeyValue("runner", taken.node())
          .log("job: run taken");
      refreshOwnStreams();
      ownerListeners.forEach(Runnable::run);
    }
  }

  /** What happened before this start is no news: a node that starts reads minutes of it at once. */
  private Level newsLevel() {
    return isCaughtUp() ? Level.INFO : Level.DEBUG;
  }

  private void refreshOwnStreams() {
    ownStreams.clear();
    owners.ownRuns().forEach(run -> ownStreams.add(streamOf(run)));
  }

  private void onJobRecord(JobRecord.OfJob record) {
    JobTable.Effect effect = table.apply(record, context.now());
    if (effect == JobTable.Effect.IGNORED) {
      return;
    }
    if (effect == JobTable.Effect.UNREADABLE) {
      LOG.atError().addKeyValue("job", record.job()).log("job: its pieces can't be decoded");
      return;
    }
    logEffect(record, effect);
    listeners.forEach(listener -> listener.accept(record, effect));
  }

  private void logEffect(JobRecord.OfJob record, JobTable.Effect effect) {
    if (effect == JobTable.Effect.LISTED) {
      return;
    }
    Job job = table.get(record.job());
    LOG.atLevel(newsLevel())
        .addKeyValue("job", record.job())
        .addKeyValue("run", job.submission().run())
        .addKeyValue("step", job.submission().step())
        .addKeyValue("items", job.submission().items().size())
        .addKeyValue("listed", job.results().size())
        .log(effect == JobTable.Effect.ACCEPTED ? "job: accepted" : "job: ended");
  }

  private void forget() {
    table.forget(context.now() - context.settings().keepJobs().toMillis());
  }
}
