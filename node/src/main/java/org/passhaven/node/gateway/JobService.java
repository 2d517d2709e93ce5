package org.passhaven.node.gateway;

import static org.passhaven.node.gateway.DurableAppend.RECORD_OVERHEAD_BYTES;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobTable;
import org.passhaven.node.gateway.DurableAppend.Change;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.JobSubmission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Callers' interface to batch jobs, at any node: hand in, read, end. What is told as done is
 * durable; what is told as refused was never sent to the log.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
  private static final int MOST_RESULT_BYTES = 900_000;

  /** Another node may be able to tell at once. */
  private static final long UNREADABLE_RETRY_AFTER_MILLIS = 100;

  private static final long REFRESH_LIMIT_MILLIS = 900;

  /** Callers wait 1,500 ms longer than they allow: an answer is under way by then. */
  private static final long ANSWER_MARGIN_MILLIS = 1_200;

  private final GatewayContext context;
  private final JobLog log;
  private final CalledJobs called;
  private final JobWaiters waiters = new JobWaiters();

  /** Creates the service over a log that is followed. */
  public JobService(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.called = new CalledJobs(context, log);
    log.addListener(this::onRecord);
  }

  private void onRecord(JobRecord.OfJob record, JobTable.Effect effect) {
    if (effect == JobTable.Effect.LISTED) {
      called.onListed(record.job());
    }
    waiters.wake(record.job());
  }

  /**
   * Hands a job in; gives the outcome within {@code limitMillis}. A job of another tenant under the
   * same id is none of the caller's, and its own was not taken.
   */
  public Uni<JobOutcome> submit(JobSubmission submission, long limitMillis) {
    return append(submission, limitMillis)
        .map(
            outcome ->
                outcome instanceof JobOutcome.Done && isOfOther(submission)
                    ? new JobOutcome.Taken()
                    : outcome);
  }

  private boolean isOfOther(JobSubmission submission) {
    Job job = log.table().get(submission.id());
    return job != null && !job.submission().tenant().equals(submission.tenant());
  }

  private Uni<JobOutcome> append(JobSubmission submission, long limitMillis) {
    called.onCall(submission.id(), 0);
    log.onCall(submission.run());
    long attempt = context.incarnation() ^ context.randomBelow().applyAsInt(Integer.MAX_VALUE);
    return durable(
        new Change(
            log.streamOf(submission.run()),
            submission.id(),
            split(submission.id(), attempt, Codec.encode(submission)),
            JobTable.Effect.ACCEPTED),
        limitMillis);
  }

  private Uni<JobOutcome> durable(Change change, long limitMillis) {
    return new DurableAppend(context, log, waiters, change).begin(limitMillis);
  }

  /** Pieces that fit into a record each. */
  private List<byte[]> split(String id, long attempt, byte[] content) {
    int piece = context.settings().mostRecordBytes() - RECORD_OVERHEAD_BYTES;
    int parts = Math.max(1, (content.length + piece - 1) / piece);
    List<byte[]> records = new ArrayList<>();
    for (int part = 0; part < parts; part++) {
      byte[] bytes =
          Arrays.copyOfRange(content, part * piece, Math.min(content.length, (part + 1) * piece));
      JobRecord record = new JobRecord.JobPart(id, attempt, part, parts, bytes);
      records.add(Codec.encode(record));
    }
    return records;
  }

  /** Ends a job; gives the outcome within {@code limitMillis}. */
  public Uni<JobOutcome> end(String tenant, String id, long limitMillis) {
    return known(id)
        .chain(
            sure -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return Uni.createFrom().item(unknownJob(id, sure));
              }
              if (job.ended()) {
                return Uni.createFrom().item(new JobOutcome.Done());
              }
              JobRecord record = new JobRecord.JobEnded(id);
              Change change =
                  new Change(
                      log.streamOf(job.submission().run()),
                      id,
                      List.of(Codec.encode(record)),
                      JobTable.Effect.ENDED);
              return durable(change, limitMillis);
            });
  }

  /**
   * Results at position {@code from} and after; waits up to {@code waitMillis} for one. That there
   * are none is said only after the log was read to its end: another node may have told of some
   * already, and a read that waits here may hang since an outage.
   */
  public Uni<JobOutcome> read(String tenant, String id, int from, long waitMillis) {
    long untilMillis = context.now() + waitMillis + ANSWER_MARGIN_MILLIS;
    return known(id)
        .chain(
            sure -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return Uni.createFrom().item(unknownJob(id, sure));
              }
              called.onCall(id, Math.max(0, from));
              return job.results().size() > from
                  ? resultsOf(job, from, untilMillis)
                  : refreshed(job).chain(isSure -> readSure(job, from, untilMillis, isSure));
            });
  }

  private Uni<JobOutcome> readSure(Job job, int from, long untilMillis, boolean isSure) {
    if (!isSure && job.results().size() <= from) {
      return Uni.createFrom().item(unreadable(job.id()));
    }
    long waitMillis = untilMillis - ANSWER_MARGIN_MILLIS - context.now();
    boolean mayCome = job.isOpen() && waitMillis > 0;
    if (job.results().size() > from || !mayCome) {
      return resultsOf(job, from, untilMillis);
    }
    return Uni.createFrom()
        .<Boolean>emitter(emitter -> awaitResult(job, from, waitMillis, emitter))
        .chain(hasCome -> endWait(job, from, untilMillis, hasCome));
  }

  /** Gives true once there is a result, false when none will come or the wait is over. */
  private void awaitResult(
      Job job, int from, long waitMillis, UniEmitter<? super Boolean> emitter) {
    Runnable[] look = new Runnable[1];
    look[0] =
        () -> {
          boolean hasCome = job.results().size() > from;
          if (hasCome || !job.isOpen()) {
            emitter.complete(hasCome);
          } else {
            waiters.add(job.id(), look[0]);
          }
        };
    emitter.onTermination(() -> waiters.remove(job.id(), look[0]));
    context.timers().after(waitMillis, () -> emitter.complete(false));
    look[0].run();
  }

  /**
   * Without a result the log is looked into: a job's end may stand before results of the same read.
   */
  private Uni<JobOutcome> endWait(Job job, int from, long untilMillis, boolean hasCome) {
    return hasCome
        ? resultsOf(job, from, untilMillis)
        : refreshed(job)
            .chain(
                isSure ->
                    !isSure && job.results().size() <= from
                        ? Uni.createFrom().item(unreadable(job.id()))
                        : resultsOf(job, from, untilMillis));
  }

  private Uni<JobOutcome> resultsOf(Job job, int from, long untilMillis) {
    List<ItemFinished> given = new ArrayList<>();
    int bytes = 0;
    for (int position = from; position < job.results().size(); position++) {
      ItemFinished result = job.results().get(position);
      bytes += (result.text() == null ? 0 : result.text().bytes()) + RECORD_OVERHEAD_BYTES;
      if (!given.isEmpty() && bytes > MOST_RESULT_BYTES) {
        break;
      }
      given.add(result);
    }
    return log.texts()
        .read(log.textStreamOf(job.submission().run()), given, untilMillis)
        .map(texts -> results(job, from, given, texts))
        .onFailure()
        .recoverWithItem(failure -> unreadable(job.id(), failure));
  }

  /** Results as far as their texts are known. */
  private static JobOutcome results(
      Job job, int from, List<ItemFinished> given, List<String> texts) {
    List<ItemResult> results = new ArrayList<>();
    for (int i = 0; i < texts.size(); i++) {
      ItemFinished result = given.get(i);
      results.add(
          new ItemResult(
              result.job(),
              result.item(),
              result.completed(),
              texts.get(i),
              result.versions(),
              result.score()));
    }
    return new JobOutcome.Results(
        job.submission().items().size(), results, Math.max(from, 0) + results.size());
  }

  /** Body of an item. */
  public Uni<JobOutcome> body(String tenant, String id, String item) {
    return known(id)
        .map(
            sure -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return unknownJob(id, sure);
              }
              JobItem found = job.item(item);
              return found == null ? new JobOutcome.NotFound() : new JobOutcome.Body(found.body());
            });
  }

  /** A job of a tenant; null if there is none, or it is another's: that can't be told apart. */
  private Job jobOf(String tenant, String id) {
    Job job = log.table().get(id);
    return job != null && job.submission().tenant().equals(tenant) ? job : null;
  }

  /** Gives whether it is sure that a job does not exist if it is not known here. */
  private Uni<Boolean> known(String id) {
    return log.table().get(id) != null ? Uni.createFrom().item(true) : refreshed();
  }

  private Uni<Boolean> refreshed() {
    return limited(log.refresh());
  }

  /** Gives whether all results of a job that were in the log at the call are known now. */
  private Uni<Boolean> refreshed(Job job) {
    boolean isWhole = job.openItems() == 0;
    return isWhole ? Uni.createFrom().item(true) : limited(log.refresh(job.submission().run()));
  }

  private Uni<Boolean> limited(Uni<Boolean> refresh) {
    return context
        .timers()
        .limit(refresh, REFRESH_LIMIT_MILLIS, "refresh")
        .onFailure()
        .recoverWithItem(false);
  }

  private JobOutcome unknownJob(String id, boolean sure) {
    return sure ? new JobOutcome.NotFound() : unreadable(id);
  }

  private JobOutcome unreadable(String id) {
    return unreadable(id, null);
  }

  private JobOutcome unreadable(String id, Throwable failure) {
    LOG.atInfo()
        .addKeyValue("job", id)
        .addKeyValue("known", log.table().get(id) != null)
        .addKeyValue("behind", log.behind())
        .addKeyValue("reason", failure == null ? "" : failure.getMessage())
        .log("job: can't be read here now");
    return new JobOutcome.Refused("the jobs can't be read now", UNREADABLE_RETRY_AFTER_MILLIS);
  }
}
