package org.passhaven.simulator.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.node.gateway.JobOutcome;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.ScoreCall;
import org.passhaven.simulator.time.VirtualTime;

/**
 * A trainer: hands in a step, reads until all items are listed or the step's time is over, ends it,
 * names the next version. Each call goes to any node that runs.
 */
final class SimulatedTrainer {
  private static final long POLL_MILLIS = 400;
  private static final long CALL_LIMIT_MILLIS = 3_000;
  private static final long RETRY_MILLIS = CALL_LIMIT_MILLIS + POLL_MILLIS;
  private static final long STEP_LIMIT_MILLIS = 12_000;
  private static final long TRAIN_MILLIS = 500;
  private static final long SETTLE_MILLIS = 1_000;
  private static final long IN_TOUCH_MILLIS = 3_000;
  private static final int GROUPS = 6;
  private static final int GROUP_SIZE = 4;
  private final GatewayWorld world;
  private final VirtualTime time;
  private final UniformRandomProvider random;
  private long version = 1;
  private int step;
  private int wholeSteps;
  private JobSubmission job;
  private final List<JobSubmission> acceptedJobs = new ArrayList<>();
  private final List<Long> acceptedAtMillis = new ArrayList<>();
  private long noNodeRetryMillis = RETRY_MILLIS;
  private Runnable whenAccepted = () -> {};
  private Runnable whenEnded = () -> {};
  private boolean accepted;
  private long acceptedAt;
  private long submittedAt;
  private int next;

  SimulatedTrainer(GatewayWorld world, VirtualTime time, UniformRandomProvider random) {
    this.world = world;
    this.time = time;
    this.random = random;
  }

  /** Steps of which every item was listed in time. */
  int wholeSteps() {
    return wholeSteps;
  }

  /** Steps that were begun. */
  int steps() {
    return step;
  }

  /** Some item of a step. */
  String itemOf(int stepNumber) {
    return "s" + stepNumber + "g0i0";
  }

  /** Whether an item stands in the step that is under way. */
  boolean isOpen(String item) {
    return job != null && job.items().stream().anyMatch(other -> other.id().equals(item));
  }

  /** Jobs that were accepted: they are kept, whatever became of them. */
  List<JobSubmission> acceptedJobs() {
    return List.copyOf(acceptedJobs);
  }

  /** Runs a task each time that a job is accepted. */
  void whenAccepted(Runnable task) {
    whenAccepted = task;
  }

  /** Runs a task each time that a step has ended. */
  void whenEnded(Runnable task) {
    whenEnded = task;
  }

  /** Sets after what time a job is handed in again while no node runs. */
  void setNoNodeRetryMillis(long millis) {
    noNodeRetryMillis = millis;
  }

  /** When the jobs were accepted, in their order. */
  List<Long> acceptedAtMillis() {
    return List.copyOf(acceptedAtMillis);
  }

  void start() {
    beginStep();
  }

  private void later(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  private void beginStep() {
    List<JobItem> items = new ArrayList<>();
    for (int group = 0; group < GROUPS; group++) {
      for (int i = 0; i < GROUP_SIZE; i++) {
        String id = "s" + step + "g" + group + "i" + i;
        ScoreCall score =
            new ScoreCall(
                "score-" + id,
                SimulatedDocuments.HOST,
                SimulatedDocuments.SCORE_PATH + id,
                new byte[0]);
        items.add(new JobItem(id, "/jobs/" + id, List.of(), new byte[] {1}, "g" + group, 0, score));
      }
    }
    job =
        new JobSubmission(
            "job" + step,
            SimulatedDocuments.HOST,
            SimulatedDocuments.JOB_PATH,
            SimulatedDocuments.TRAINER,
            SimulatedServers.MODEL,
            SimulatedServers.MODEL,
            step,
            Math.max(1, version - 1),
            GROUPS,
            items);
    accepted = false;
    next = 0;
    submittedAt = time.nowMillis();
    submit(job);
  }

  private Optional<GatewayHost> anyNode() {
    List<GatewayHost> running = world.hosts().stream().filter(GatewayHost::isRunning).toList();
    return running.isEmpty()
        ? Optional.empty()
        : Optional.of(running.get(random.nextInt(running.size())));
  }

  private boolean isCurrent(JobSubmission asked) {
    return job != null && job.id().equals(asked.id());
  }

  private void submit(JobSubmission submitted) {
    if (accepted || !isCurrent(submitted)) {
      return;
    }
    Optional<GatewayHost> node = anyNode();
    node.ifPresent(
        host ->
            host.process()
                .execute(
                    host.process().generation(),
                    () ->
                        host.gateway()
                            .jobs()
                            .submit(submitted, CALL_LIMIT_MILLIS)
                            .subscribe()
                            .with(outcome -> onSubmitted(submitted, outcome))));
    later(node.isPresent() ? RETRY_MILLIS : noNodeRetryMillis, () -> submit(submitted));
  }

  private void onSubmitted(JobSubmission submitted, JobOutcome outcome) {
    if (isCurrent(submitted) && outcome instanceof JobOutcome.Done && !accepted) {
      accepted = true;
      acceptedJobs.add(submitted);
      acceptedAt = time.nowMillis();
      acceptedAtMillis.add(acceptedAt);
      whenAccepted.run();
      poll(submitted);
    }
  }

  private void poll(JobSubmission polled) {
    if (!isCurrent(polled)) {
      return;
    }
    if (time.nowMillis() - submittedAt > STEP_LIMIT_MILLIS || next >= job.items().size()) {
      endStep();
      return;
    }
    int from = random.nextInt(3) == 0 ? 0 : next;
    anyNode().ifPresent(host -> read(polled, host, from));
    later(POLL_MILLIS, () -> poll(polled));
  }

  private void read(JobSubmission polled, GatewayHost host, int from) {
    boolean settled = time.nowMillis() - acceptedAt > SETTLE_MILLIS;
    boolean bound = settled && world.isStoreSoundFor(IN_TOUCH_MILLIS);
    host.process()
        .execute(
            host.process().generation(),
            () ->
                host.gateway()
                    .jobs()
                    .read(SimulatedDocuments.TRAINER, polled.id(), from, 0)
                    .subscribe()
                    .with(
                        outcome -> {
                          if (outcome instanceof JobOutcome.Results results) {
                            world.checker().onRead(polled.id(), from, results.results());
                            if (isCurrent(polled)) {
                              next = Math.max(next, results.next());
                            }
                          } else if (outcome instanceof JobOutcome.NotFound
                              && bound
                              && host.isSoundFor(IN_TOUCH_MILLIS)) {
                            world.checker().broken(polled.id() + " is not found");
                          }
                        }));
  }

  private void endStep() {
    if (next >= job.items().size()) {
      wholeSteps++;
    }
    JobSubmission ended = job;
    end(ended, 0);
    step++;
    version++;
    job = null;
    whenEnded.run();
    world.name(version);
    later(TRAIN_MILLIS, this::beginStep);
  }

  private void end(JobSubmission ended, int tries) {
    anyNode()
        .ifPresent(
            host ->
                host.process()
                    .execute(
                        host.process().generation(),
                        () ->
                            host.gateway()
                                .jobs()
                                .end(SimulatedDocuments.TRAINER, ended.id(), CALL_LIMIT_MILLIS)
                                .subscribe()
                                .with(outcome -> {})));
    if (tries < 2) {
      later(CALL_LIMIT_MILLIS, () -> end(ended, tries + 1));
    }
  }
}
