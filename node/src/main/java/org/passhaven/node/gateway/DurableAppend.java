package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobTable;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends one change of a job to the log and retries until the log acknowledges it, the change is
 * read back, or the time limit is reached. Large changes are split over several append calls. Used
 * for one change only; not thread-safe.
 */
final class DurableAppend {
  private static final Logger LOG = LoggerFactory.getLogger(DurableAppend.class);
  private static final long RETRY_DELAY_MILLIS = 120;
  private static final long REFUSAL_RETRY_AFTER_MILLIS = 300;

  /** Space reserved for the encoding overhead of one record. */
  static final int RECORD_OVERHEAD_BYTES = 1_024;

  /**
   * A change to append.
   *
   * @param stream stream that receives the records
   * @param job id of the changed job
   * @param records encoded records in order; appending one twice has no further effect
   * @param expectedEffect effect of the records on the job table
   */
  record Change(String stream, String job, List<byte[]> records, JobTable.Effect expectedEffect) {
    Change {
      records = List.copyOf(records);
    }
  }

  private final GatewayContext context;
  private final JobLog log;
  private final JobWaiters waiters;
  private final Change change;
  private final Runnable onJobChange = this::awaitEffect;
  private final long startedAtMillis;
  private UniEmitter<? super JobOutcome> emitter;
  private int maxCallBytes;
  private int nextRecordIndex;
  private int attempts;
  private boolean isInFlight;
  private boolean mayBeAppended;
  private boolean isFinished;

  DurableAppend(GatewayContext context, JobLog log, JobWaiters waiters, Change change) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.waiters = Objects.requireNonNull(waiters, "waiters");
    this.change = Objects.requireNonNull(change, "change");
    this.startedAtMillis = context.nowMillis();
    this.maxCallBytes = context.settings().maxAppendBytes() - RECORD_OVERHEAD_BYTES;
  }

  /**
   * Starts to append. Returns the outcome, which is known after {@code limitMillis} at the latest.
   */
  Uni<JobOutcome> start(long limitMillis) {
    return Uni.createFrom()
        .emitter(
            outcomeEmitter -> {
              emitter = outcomeEmitter;
              context.timers().after(Math.max(1, limitMillis), this::onTimeout);
              awaitEffect();
              appendNextBatch();
            });
  }

  private void awaitEffect() {
    if (isFinished) {
      return;
    }
    if (hasTakenEffect()) {
      finish(new JobOutcome.Done(), "read back");
      return;
    }
    waiters.add(change.job(), onJobChange);
  }

  private boolean hasTakenEffect() {
    Job job = log.table().get(change.job());
    return job != null && (change.expectedEffect() == JobTable.Effect.ACCEPTED || job.isEnded());
  }

  private void appendNextBatch() {
    if (isFinished) {
      return;
    }
    attempts++;
    isInFlight = true;
    List<byte[]> batch = nextBatch();
    log.append(change.stream(), batch)
        .subscribe()
        .with(offset -> onAppended(batch.size()), failure -> onFailure(batch, failure));
  }

  /** Returns the next records that fit into one append call, at least one. */
  private List<byte[]> nextBatch() {
    List<byte[]> batch = new ArrayList<>();
    int bytes = 0;
    for (byte[] record : change.records().subList(nextRecordIndex, change.records().size())) {
      bytes += record.length;
      if (!batch.isEmpty() && bytes > maxCallBytes) {
        break;
      }
      batch.add(record);
    }
    return batch;
  }

  private void onAppended(int records) {
    isInFlight = false;
    mayBeAppended = true;
    nextRecordIndex += records;
    if (nextRecordIndex < change.records().size()) {
      appendNextBatch();
    } else {
      finish(new JobOutcome.Done(), "acknowledged");
    }
  }

  private void onFailure(List<byte[]> batch, Throwable failure) {
    isInFlight = false;
    boolean isOutcomeUnknown =
        PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN;
    mayBeAppended |= isOutcomeUnknown;
    if (isOutcomeUnknown) {
      // The call may have timed out because of its size: retry with a smaller batch.
      maxCallBytes = batch.stream().mapToInt(record -> record.length).sum() / 2;
    }
    if (!isFinished) {
      context.timers().after(RETRY_DELAY_MILLIS, this::appendNextBatch);
    }
  }

  private void onTimeout() {
    if (mayBeAppended || isInFlight) {
      finish(new JobOutcome.Unknown("the log gave no answer"), "unknown");
    } else {
      finish(
          new JobOutcome.Refused("the log takes nothing now", REFUSAL_RETRY_AFTER_MILLIS),
          "refused");
    }
  }

  private void finish(JobOutcome outcome, String resolution) {
    if (isFinished) {
      return;
    }
    isFinished = true;
    waiters.remove(change.job(), onJobChange);
    LOG.atInfo()
        .addKeyValue("job", change.job())
        .addKeyValue("wanted", change.expectedEffect())
        .addKeyValue("outcome", resolution)
        .addKeyValue("tries", attempts)
        .addKeyValue("tookMillis", context.nowMillis() - startedAtMillis)
        .log("job: append decided");
    emitter.complete(outcome);
  }
}
