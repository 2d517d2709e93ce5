package org.passhaven.node.gateway;

import static org.passhaven.node.gateway.DurableAppend.RECORD_OVERHEAD_BYTES;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobRoutes;
import org.passhaven.core.job.JobTable;
import org.passhaven.core.route.RouteTable;
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
 * Interface of callers to batch jobs: submit, read and end, at any node. An outcome of {@link
 * JobOutcome.Done} means that the change is durable, {@link JobOutcome.Refused} that it is not and
 * will not be in the log. Not thread-safe.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
  private static final int MAX_RESPONSE_BYTES = 900_000;

  /** Short, since another node may be able to answer at once. */
  private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 100;

  private static final long REFRESH_TIMEOUT_MILLIS = 900;

  /** Less than the 1,500 ms for which callers wait beyond the limit they send. */
  private static final long ANSWER_MARGIN_MILLIS = 1_200;

  private final GatewayContext context;
  private final JobLog log;
  private final Supplier<RouteTable> routes;
  private final ResultTextPrefetcher prefetcher;
  private final JobWaiters waiters = new JobWaiters();

  /**
   * Creates the service on top of a job log.
   *
   * @param routes returns the routes of the current configuration
   */
  public JobService(GatewayContext context, JobLog log, Supplier<RouteTable> routes) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.routes = Objects.requireNonNull(routes, "routes");
    this.prefetcher = new ResultTextPrefetcher(context, log);
    log.addListener(this::onRecord);
  }

  private void onRecord(JobRecord.OfJob record, JobTable.Effect effect) {
    if (effect == JobTable.Effect.RESULT_RECORDED) {
      prefetcher.onResultRecorded(record.job());
    }
    waiters.runAll(record.job());
  }

  /**
   * Submits a job. Returns the outcome within {@code limitMillis}; it is {@link JobOutcome.IdInUse}
   * if another tenant has a job with the same id.
   */
  public Uni<JobOutcome> submit(JobSubmission submission, long limitMillis) {
    return append(submission, limitMillis)
        .map(
            outcome ->
                outcome instanceof JobOutcome.Done && belongsToOtherTenant(submission)
                    ? new JobOutcome.IdInUse()
                    : outcome);
  }

  private boolean belongsToOtherTenant(JobSubmission submission) {
    Job job = log.table().get(submission.id());
    return job != null && !job.submission().tenant().equals(submission.tenant());
  }

  private Uni<JobOutcome> append(JobSubmission submission, long limitMillis) {
    prefetcher.onCallerRequest(submission.id(), 0);
    log.onCallerRequest(submission.run());
    long attempt = context.incarnation() ^ context.randomBelow().applyAsInt(Integer.MAX_VALUE);
    return appendDurably(
        new Change(
            log.streamOf(submission.run()),
            submission.id(),
            split(
                submission.id(),
                attempt,
                Codec.encode(JobRoutes.withRoute(submission, routes.get()))),
            JobTable.Effect.ACCEPTED),
        limitMillis);
  }

  private Uni<JobOutcome> appendDurably(Change change, long limitMillis) {
    return new DurableAppend(context, log, waiters, change).start(limitMillis);
  }

  /** Splits an encoded submission into records of the maximum size. */
  private List<byte[]> split(String id, long attempt, byte[] content) {
    int maxPartBytes = context.settings().maxRecordBytes() - RECORD_OVERHEAD_BYTES;
    int parts = Math.max(1, (content.length + maxPartBytes - 1) / maxPartBytes);
    List<byte[]> records = new ArrayList<>();
    for (int part = 0; part < parts; part++) {
      byte[] bytes =
          Arrays.copyOfRange(
              content, part * maxPartBytes, Math.min(content.length, (part + 1) * maxPartBytes));
      JobRecord record = new JobRecord.JobPart(id, attempt, part, parts, bytes);
      records.add(Codec.encode(record));
    }
    return records;
  }

  /** Ends a job. Returns the outcome within {@code limitMillis}. */
  public Uni<JobOutcome> end(String tenant, String id, long limitMillis) {
    return refreshIfUnknown(id)
        .chain(
            isTableCurrent -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return Uni.createFrom().item(notFoundOrUnavailable(id, isTableCurrent));
              }
              if (job.isEnded()) {
                return Uni.createFrom().item(new JobOutcome.Done());
              }
              JobRecord record = new JobRecord.JobEnded(id);
              Change change =
                  new Change(
                      log.streamOf(job.submission().run()),
                      id,
                      List.of(Codec.encode(record)),
                      JobTable.Effect.ENDED);
              return appendDurably(change, limitMillis);
            });
  }

  /**
   * Returns the results from position {@code from} on; waits up to {@code waitMillis} for one. An
   * empty answer requires that the log was read to its end first, since another node may have
   * returned newer results already.
   */
  public Uni<JobOutcome> read(String tenant, String id, int from, long waitMillis) {
    long deadlineMillis = context.nowMillis() + waitMillis + ANSWER_MARGIN_MILLIS;
    return refreshIfUnknown(id)
        .chain(
            isTableCurrent -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return Uni.createFrom().item(notFoundOrUnavailable(id, isTableCurrent));
              }
              prefetcher.onCallerRequest(id, Math.max(0, from));
              return job.results().size() > from
                  ? resultsOf(job, from, deadlineMillis)
                  : refreshWithTimeout(job)
                      .chain(
                          isJobCurrent ->
                              readAfterRefresh(job, from, deadlineMillis, isJobCurrent));
            });
  }

  private Uni<JobOutcome> readAfterRefresh(
      Job job, int from, long deadlineMillis, boolean isJobCurrent) {
    if (!isJobCurrent && job.results().size() <= from) {
      return Uni.createFrom().item(unavailable(job.id()));
    }
    long waitMillis = deadlineMillis - ANSWER_MARGIN_MILLIS - context.nowMillis();
    boolean mayArrive = job.isOpen() && waitMillis > 0;
    if (job.results().size() > from || !mayArrive) {
      return resultsOf(job, from, deadlineMillis);
    }
    return Uni.createFrom()
        .<Boolean>emitter(emitter -> awaitResult(job, from, waitMillis, emitter))
        .chain(isAvailable -> readAfterWait(job, from, deadlineMillis, isAvailable));
  }

  /** Emits true once there is a result, false if none can come or the wait is over. */
  private void awaitResult(
      Job job, int from, long waitMillis, UniEmitter<? super Boolean> emitter) {
    Runnable[] check = new Runnable[1];
    check[0] =
        () -> {
          boolean isAvailable = job.results().size() > from;
          if (isAvailable || !job.isOpen()) {
            emitter.complete(isAvailable);
          } else {
            waiters.add(job.id(), check[0]);
          }
        };
    emitter.onTermination(() -> waiters.remove(job.id(), check[0]));
    context.timers().after(waitMillis, () -> emitter.complete(false));
    check[0].run();
  }

  /**
   * Refreshes the log before an empty answer, since results may follow a job's end in the same
   * read.
   */
  private Uni<JobOutcome> readAfterWait(
      Job job, int from, long deadlineMillis, boolean isAvailable) {
    return isAvailable
        ? resultsOf(job, from, deadlineMillis)
        : refreshWithTimeout(job)
            .chain(
                isJobCurrent ->
                    !isJobCurrent && job.results().size() <= from
                        ? Uni.createFrom().item(unavailable(job.id()))
                        : resultsOf(job, from, deadlineMillis));
  }

  private Uni<JobOutcome> resultsOf(Job job, int from, long deadlineMillis) {
    List<ItemFinished> selected = new ArrayList<>();
    int bytes = 0;
    for (int position = from; position < job.results().size(); position++) {
      ItemFinished result = job.results().get(position);
      bytes += (result.text() == null ? 0 : result.text().bytes()) + RECORD_OVERHEAD_BYTES;
      if (!selected.isEmpty() && bytes > MAX_RESPONSE_BYTES) {
        break;
      }
      selected.add(result);
    }
    return log.texts()
        .read(log.textStreamOf(job.submission().run()), selected, deadlineMillis)
        .map(texts -> results(job, from, selected, texts))
        .onFailure()
        .recoverWithItem(failure -> unavailable(job.id(), failure));
  }

  /** Returns the results whose texts are available. */
  private static JobOutcome results(
      Job job, int from, List<ItemFinished> selected, List<String> texts) {
    List<ItemResult> results = new ArrayList<>();
    for (int i = 0; i < texts.size(); i++) {
      ItemFinished result = selected.get(i);
      results.add(
          new ItemResult(
              result.job(),
              result.item(),
              result.completed(),
              texts.get(i),
              result.versions(),
              result.score()));
    }
    return new JobOutcome.Results(job.itemCount(), results, Math.max(from, 0) + results.size());
  }

  /** Returns the request body of an item that has no result. */
  public Uni<JobOutcome> body(String tenant, String id, String item) {
    return refreshIfUnknown(id)
        .map(
            isTableCurrent -> {
              Job job = jobOf(tenant, id);
              if (job == null) {
                return notFoundOrUnavailable(id, isTableCurrent);
              }
              JobItem found = job.item(item);
              return found == null || job.hasResult(item)
                  ? new JobOutcome.NotFound()
                  : new JobOutcome.Body(found.body());
            });
  }

  /** Returns a job of a tenant; null if there is none or it belongs to another tenant. */
  private Job jobOf(String tenant, String id) {
    Job job = log.table().get(id);
    return job != null && job.submission().tenant().equals(tenant) ? job : null;
  }

  /** Refreshes the log if a job is unknown. Returns whether the job table is current for it. */
  private Uni<Boolean> refreshIfUnknown(String id) {
    return log.table().get(id) != null ? Uni.createFrom().item(true) : refreshWithTimeout();
  }

  private Uni<Boolean> refreshWithTimeout() {
    return withTimeout(log.refresh());
  }

  /** Refreshes a job. Returns whether all results in the log at the time of the call are known. */
  private Uni<Boolean> refreshWithTimeout(Job job) {
    boolean isComplete = job.openItemCount() == 0;
    return isComplete
        ? Uni.createFrom().item(true)
        : withTimeout(log.refresh(job.submission().run()));
  }

  private Uni<Boolean> withTimeout(Uni<Boolean> refresh) {
    return context
        .timers()
        .withTimeout(refresh, REFRESH_TIMEOUT_MILLIS, "refresh")
        .onFailure()
        .recoverWithItem(false);
  }

  private JobOutcome notFoundOrUnavailable(String id, boolean isTableCurrent) {
    return isTableCurrent ? new JobOutcome.NotFound() : unavailable(id);
  }

  private JobOutcome unavailable(String id) {
    return unavailable(id, null);
  }

  private JobOutcome unavailable(String id, Throwable failure) {
    LOG.atInfo()
        .addKeyValue("job", id)
        .addKeyValue("known", log.table().get(id) != null)
        .addKeyValue("behind", log.laggingStreams())
        .addKeyValue("reason", failure == null ? "" : failure.getMessage())
        .log("job: can't be read here now");
    return new JobOutcome.Refused("the jobs can't be read now", UNAVAILABLE_RETRY_AFTER_MILLIS);
  }
}
