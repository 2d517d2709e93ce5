package org.passhaven.node.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.job.Job;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Prefetches result texts of jobs whose callers use this node. The texts are read as soon as the
 * results appear in the log, so that they can be served while the log is unavailable. Callers use a
 * few nodes of a large fleet, so few nodes read texts. Not thread-safe.
 */
final class ResultTextPrefetcher {
  private static final Logger LOG = LoggerFactory.getLogger(ResultTextPrefetcher.class);

  /** Number of tracked jobs above which closed jobs are removed; a run has a few open ones. */
  private static final int MAX_TRACKED_JOBS = 64;

  /** Delay before a failed read is retried. */
  private static final long RETRY_DELAY_MILLIS = 300;

  /** Time limit of one read of texts; those that are missing by then are read again. */
  private static final long READ_TIMEOUT_MILLIS = 3_000;

  private final GatewayContext context;
  private final JobLog log;
  private final Map<String, ReadState> statesByJob = new HashMap<>();

  /** Read position of one job's texts. */
  private static final class ReadState {
    int nextPosition;
    boolean reading;

    ReadState(int position) {
      this.nextPosition = position;
    }
  }

  ResultTextPrefetcher(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Starts prefetching for a job that a caller submitted here or reads from a position on. */
  void onCallerRequest(String job, int from) {
    if (statesByJob.size() > MAX_TRACKED_JOBS) {
      statesByJob.keySet().removeIf(this::isClosed);
    }
    statesByJob.computeIfAbsent(job, id -> new ReadState(from));
    Job known = log.table().get(job);
    if (known != null && known.isOpen()) {
      log.onCallerRequest(known.submission().run());
    }
    onResultRecorded(job);
  }

  private boolean isClosed(String id) {
    Job job = log.table().get(id);
    return job == null || !job.isOpen();
  }

  /** Reads the texts of a job's new results if the job is tracked and no read is in progress. */
  void onResultRecorded(String id) {
    ReadState state = statesByJob.get(id);
    Job job = log.table().get(id);
    boolean mayRead = state != null && !state.reading && job != null && !job.isEnded();
    if (mayRead && state.nextPosition < job.results().size()) {
      readTexts(job, state);
    }
  }

  private void readTexts(Job job, ReadState state) {
    List<ItemFinished> results = job.results();
    state.reading = true;
    log.texts()
        .read(
            log.textStreamOf(job.submission().run()),
            List.copyOf(results.subList(state.nextPosition, results.size())),
            context.nowMillis() + READ_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            texts -> {
              state.reading = false;
              state.nextPosition += texts.size();
              onResultRecorded(job.id());
            },
            failure -> {
              LOG.debug(
                  "job: reading result texts failed: {}",
                  PlatformException.from(failure).getMessage());
              context.timers().after(RETRY_DELAY_MILLIS, () -> retry(job, state));
            });
  }

  private void retry(Job job, ReadState state) {
    state.reading = false;
    onResultRecorded(job.id());
  }
}
