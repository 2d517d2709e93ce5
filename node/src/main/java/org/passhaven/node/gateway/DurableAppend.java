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
 * One change of a job on its way to the log: appended, in as many calls as its size needs, until it
 * is acknowledged or read back, or the time is over.
 */
final class DurableAppend {
  private static final Logger LOG = LoggerFactory.getLogger(DurableAppend.class);
  private static final long RETRY_MILLIS = 120;
  private static final long REFUSED_RETRY_AFTER_MILLIS = 300;

  /** What a record adds to its content in a call. */
  static final int RECORD_OVERHEAD_BYTES = 1_024;

  /**
   * What is to be in the log.
   *
   * @param records the change's records in order; one that is appended again changes nothing
   * @param wanted what folding them does to the job
   */
  record Change(String stream, String job, List<byte[]> records, JobTable.Effect wanted) {
    Change {
      records = List.copyOf(records);
    }
  }

  private final GatewayContext context;
  private final JobLog log;
  private final JobWaiters waiters;
  private final Change change;
  private final Runnable onNews = this::awaitFold;
  private final long beganAtMillis;
  private UniEmitter<? super JobOutcome> emitter;
  private int maxCallBytes;
  private int nextRecord;
  private int tries;
  private boolean underWay;
  private boolean mayBeDone;
  private boolean done;

  DurableAppend(GatewayContext context, JobLog log, JobWaiters waiters, Change change) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.waiters = Objects.requireNonNull(waiters, "waiters");
    this.change = Objects.requireNonNull(change, "change");
    this.beganAtMillis = context.now();
    this.maxCallBytes = context.settings().mostAppendBytes() - RECORD_OVERHEAD_BYTES;
  }

  /** Begins; gives the outcome within {@code limitMillis}, whether somebody waits for it or not. */
  Uni<JobOutcome> begin(long limitMillis) {
    return Uni.createFrom()
        .emitter(
            waiting -> {
              emitter = waiting;
              context.timers().after(Math.max(1, limitMillis), this::giveUp);
              awaitFold();
              tryNext();
            });
  }

  private void awaitFold() {
    if (done) {
      return;
    }
    if (isInEffect()) {
      finish(new JobOutcome.Done(), "read back");
      return;
    }
    waiters.add(change.job(), onNews);
  }

  private boolean isInEffect() {
    Job job = log.table().get(change.job());
    return job != null && (change.wanted() == JobTable.Effect.ACCEPTED || job.ended());
  }

  private void tryNext() {
    if (done) {
      return;
    }
    tries++;
    underWay = true;
    List<byte[]> batch = nextBatch();
    log.append(change.stream(), batch)
        .subscribe()
        .with(offset -> onAppended(batch.size()), failure -> onFailure(batch, failure));
  }

  /** As many of the next records as a call may hold, at least one. */
  private List<byte[]> nextBatch() {
    List<byte[]> batch = new ArrayList<>();
    int bytes = 0;
    for (byte[] record : change.records().subList(nextRecord, change.records().size())) {
      bytes += record.length;
      if (!batch.isEmpty() && bytes > maxCallBytes) {
        break;
      }
      batch.add(record);
    }
    return batch;
  }

  private void onAppended(int records) {
    underWay = false;
    mayBeDone = true;
    nextRecord += records;
    if (nextRecord < change.records().size()) {
      tryNext();
    } else {
      finish(new JobOutcome.Done(), "acknowledged");
    }
  }

  private void onFailure(List<byte[]> batch, Throwable failure) {
    underWay = false;
    boolean isUnknown = PlatformException.from(failure).kind() != PlatformException.Kind.NOT_RUN;
    mayBeDone |= isUnknown;
    if (isUnknown) {
      // It may have been too long for the way there: the same again would be lost again.
      maxCallBytes = batch.stream().mapToInt(record -> record.length).sum() / 2;
    }
    if (!done) {
      context.timers().after(RETRY_MILLIS, this::tryNext);
    }
  }

  private void giveUp() {
    if (mayBeDone || underWay) {
      finish(new JobOutcome.Unknown("the log gave no answer"), "unknown");
    } else {
      finish(
          new JobOutcome.Refused("the log takes nothing now", REFUSED_RETRY_AFTER_MILLIS),
          "refused");
    }
  }

  private void finish(JobOutcome outcome, String how) {
    if (done) {
      return;
    }
    done = true;
    waiters.remove(change.job(), onNews);
    LOG.atInfo()
        .addKeyValue("job", change.job())
        .addKeyValue("wanted", change.wanted())
        .addKeyValue("outcome", how)
        .addKeyValue("tries", tries)
        .addKeyValue("tookMillis", context.now() - beganAtMillis)
        .log("job: append decided");
    emitter.complete(outcome);
  }
}
