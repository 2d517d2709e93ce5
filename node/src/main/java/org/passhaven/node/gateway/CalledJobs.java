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
 * Jobs whose callers have come to this node. Texts of their results are read as they are listed,
 * not only when they are asked for: they can then be given also while the log can't be read.
 * Callers use a few nodes of a large fleet, so few nodes read texts.
 */
final class CalledJobs {
  private static final Logger LOG = LoggerFactory.getLogger(CalledJobs.class);

  /** Past this many, jobs that are over are forgotten; trainers have a few open ones each. */
  private static final int MANY_JOBS = 64;

  /** A read that failed is repeated this much later, as long as its job is open. */
  private static final long RETRY_MILLIS = 300;

  /** The texts of some results; what is not there by then is tried again. */
  private static final long READ_LIMIT_MILLIS = 3_000;

  private final GatewayContext context;
  private final JobLog log;
  private final Map<String, Called> called = new HashMap<>();

  /** How far the texts of one job were read. */
  private static final class Called {
    int position;
    boolean reading;

    Called(int position) {
      this.position = position;
    }
  }

  CalledJobs(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** A caller has asked here for a job's results from a position on, or has handed it in. */
  void onCall(String job, int from) {
    if (called.size() > MANY_JOBS) {
      called.keySet().removeIf(this::isOver);
    }
    called.computeIfAbsent(job, id -> new Called(from));
    Job known = log.table().get(job);
    if (known != null && known.isOpen()) {
      log.onCall(known.submission().run());
    }
    onListed(job);
  }

  private boolean isOver(String id) {
    Job job = log.table().get(id);
    return job == null || !job.isOpen();
  }

  /** Results of a job were listed: reads their texts if its callers come to this node. */
  void onListed(String id) {
    Called state = called.get(id);
    Job job = log.table().get(id);
    boolean mayRead = state != null && !state.reading && job != null && !job.ended();
    if (mayRead && state.position < job.results().size()) {
      read(job, state);
    }
  }

  private void read(Job job, Called state) {
    List<ItemFinished> results = job.results();
    state.reading = true;
    log.texts()
        .read(
            log.textStreamOf(job.submission().run()),
            List.copyOf(results.subList(state.position, results.size())),
            context.now() + READ_LIMIT_MILLIS)
        .subscribe()
        .with(
            texts -> {
              state.reading = false;
              state.position += texts.size();
              onListed(job.id());
            },
            failure -> {
              LOG.debug("job: texts: {}", PlatformException.from(failure).getMessage());
              context.timers().after(RETRY_MILLIS, () -> readAgain(job, state));
            });
  }

  private void readAgain(Job job, Called state) {
    state.reading = false;
    onListed(job.id());
  }
}
