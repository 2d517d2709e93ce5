package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.job.Job;
import org.passhaven.core.job.JobTable;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Callers' interface to batch jobs, at any node: hand in, read, end. What is told as done is
 * durable; what is told as refused was never sent to the log.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);
  private static final int MOST_RESULT_BYTES = 900_000;
  private static final long RETRY_MILLIS = 120;
  private static final long REFUSED_RETRY_AFTER_MILLIS = 300;

  /** Another node may be able to tell at once. */
  private static final long UNREADABLE_RETRY_AFTER_MILLIS = 100;

  private static final long REFRESH_LIMIT_MILLIS = 900;

  /** Callers wait 1,500 ms longer than they allow: an answer is under way by then. */
  private static final long ANSWER_MARGIN_MILLIS = 1_200;

  private static final int RECORD_OVERHEAD_BYTES = 1_024;
  private final GatewayContext context;
  private final JobLog log;
  private final CalledJobs called;
  private final Map<String, List<Runnable>> waiting = new HashMap<>();

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
    wake(record.job());
  }

  private void wake(String job) {
    List<Runnable> woken = waiting.remove(job);
    if (woken != null) {
      woken.forEach(Runnable::run);
    }
  }

  /** Hands a job in; gives the outcome within {@code limitMillis}. */
  public Uni<JobOutcome> submit(JobSubmission submission, long limitMillis) {
    called.onCall(submission.id(), 0);
    byte[] content = Codec.encode(submission);
    long attempt = context.incarnation() ^ context.randomBelow().applyAsInt(Integer.MAX_VALUE);
    List<List<byte[]>> appends = split(submission.id(), attempt, content);
    String stream = log.streamOf(submission.run());
    return durable(
        new Append(stream, submission.id(), appends, JobTable.Effect.ACCEPTED), limitMillis);
  }

  private List<List<byte[]>> split(String id, long attempt, byte[] content) {
    int piece = context.settings().mostRecordBytes() - RECORD_OVERHEAD_BYTES;
    int parts = Math.max(1, (content.length + piece - 1) / piece);
    List<List<byte[]>> appends = new ArrayList<>();
    List<byte[]> current = new ArrayList<>();
    int bytes = 0;
    for (int part = 0; part < parts; part++) {
      byte[] bytesOfPart =
          Arrays.copyOfRange(content, part * piece, Math.min(content.length, (part + 1) * piece));
      JobRecord record = new JobRecord.JobPart(id, attempt, part, parts, bytesOfPart);
      byte[] encoded = Codec.encode(record);
      if (bytes + encoded.length > context.settings().mostAppendBytes() - RECORD_OVERHEAD_BYTES) {
        appends.add(current);
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(encoded);
      bytes += encoded.length;
    }
    appends.add(current);
    return appends;
  }

  /** Ends a job; gives the outcome within {@code limitMillis}. */
  public Uni<JobOutcome> end(String id, long limitMillis) {
    return known(id)
        .chain(
            sure -> {
              Job job = log.table().get(id);
              if (job == null) {
                return Uni.createFrom().item(unknownJob(id, sure));
              }
              if (job.ended()) {
                return Uni.createFrom().item(new JobOutcome.Done());
              }
              JobRecord record = new JobRecord.JobEnded(id);
              Append append =
                  new Append(
                      log.streamOf(job.submission().run()),
                      id,
                      List.of(List.of(Codec.encode(record))),
                      JobTable.Effect.ENDED);
              return durable(append, limitMillis);
            });
  }

  /**
   * Results at position {@code from} and after; waits up to {@code waitMillis} for one. That there
   * are none is said only after the log was read to its end: another node may have told of some
   * already, and a read that waits here may hang since an outage.
   */
  public Uni<JobOutcome> read(String id, int from, long waitMillis) {
    long untilMillis = context.now() + waitMillis + ANSWER_MARGIN_MILLIS;
    return known(id)
        .chain(
            sure -> {
              Job job = log.table().get(id);
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
    boolean[] done = new boolean[1];
    emitter.onTermination(() -> done[0] = true);
    Runnable[] look = new Runnable[1];
    look[0] =
        () -> {
          if (done[0]) {
            return;
          }
          boolean hasCome = job.results().size() > from;
          if (hasCome || !job.isOpen()) {
            emitter.complete(hasCome);
          } else {
            waiting.computeIfAbsent(job.id(), id -> new ArrayList<>()).add(look[0]);
          }
        };
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
  public Uni<JobOutcome> body(String id, String item) {
    return known(id)
        .map(
            sure -> {
              Job job = log.table().get(id);
              if (job == null) {
                return unknownJob(id, sure);
              }
              JobItem found = job.item(item);
              return found == null ? new JobOutcome.NotFound() : new JobOutcome.Body(found.body());
            });
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

  private record Append(
      String stream, String job, List<List<byte[]>> batches, JobTable.Effect wanted) {}

  private Uni<JobOutcome> durable(Append append, long limitMillis) {
    return Uni.createFrom()
        .emitter(
            emitter -> new DurableAppend(append, context.now() + limitMillis, emitter).begin());
  }

  private boolean isInEffect(Append append) {
    Job job = log.table().get(append.job());
    return job != null && (append.wanted() == JobTable.Effect.ACCEPTED || job.ended());
  }

  /** Repeats an append until it is acknowledged or read back, or the time is over. */
  private final class DurableAppend {
    private final Append append;
    private final long untilMillis;
    private final UniEmitter<? super JobOutcome> emitter;
    private final long beganAt = context.now();
    private int nextBatch;
    private int tries;
    private boolean underWay;
    private boolean mayBeDone;
    private boolean done;

    DurableAppend(Append append, long untilMillis, UniEmitter<? super JobOutcome> emitter) {
      this.append = append;
      this.untilMillis = untilMillis;
      this.emitter = emitter;
    }

    void begin() {
      context.timers().after(Math.max(1, untilMillis - context.now()), this::giveUp);
      awaitFold();
      tryNext();
    }

    private void awaitFold() {
      if (done) {
        return;
      }
      if (isInEffect(append)) {
        finish(new JobOutcome.Done(), "read back");
        return;
      }
      waiting.computeIfAbsent(append.job(), id -> new ArrayList<>()).add(this::awaitFold);
    }

    private void tryNext() {
      if (done) {
        return;
      }
      tries++;
      underWay = true;
      log.append(append.stream(), append.batches().get(nextBatch))
          .subscribe()
          .with(offset -> onAppended(), this::onFailure);
    }

    private void onAppended() {
      underWay = false;
      mayBeDone = true;
      nextBatch++;
      if (nextBatch < append.batches().size()) {
        tryNext();
      } else {
        finish(new JobOutcome.Done(), "acknowledged");
      }
    }

    private void onFailure(Throwable failure) {
      underWay = false;
      PlatformException known = PlatformException.from(failure);
      mayBeDone |= known.kind() != PlatformException.Kind.NOT_RUN;
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
      LOG.atInfo()
          .addKeyValue("job", append.job())
          .addKeyValue("wanted", append.wanted())
          .addKeyValue("outcome", how)
          .addKeyValue("tries", tries)
          .addKeyValue("tookMillis", context.now() - beganAt)
          .log("job: append decided");
      emitter.complete(outcome);
    }
  }
}
