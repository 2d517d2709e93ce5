package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.passhaven.platform.standin.history.JobObservation;
import org.passhaven.platform.standin.history.JobObservation.EndAcknowledged;
import org.passhaven.platform.standin.history.JobObservation.EndAsked;
import org.passhaven.platform.standin.history.JobObservation.JobAccepted;
import org.passhaven.platform.standin.history.JobObservation.JobPlanned;
import org.passhaven.platform.standin.history.JobObservation.JobRefused;
import org.passhaven.platform.standin.history.JobObservation.JobSent;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.OperatorObservation.VersionSent;

/** All jobs of a history. */
final class JobLedger {
  private static final long FIRST_VERSION = 1;

  private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
  private final Map<String, List<JobRecord>> jobsByItem = new HashMap<>();
  private final Map<String, JobRecord> jobsByScore = new HashMap<>();

  private final Map<String, Long> namedVersions = new HashMap<>();
  private final long versionsBehind;

  private JobLedger(long versionsBehind) {
    this.versionsBehind = versionsBehind;
  }

  static JobLedger of(List<Observation> observations, long versionsBehind) {
    JobLedger ledger = new JobLedger(versionsBehind);
    for (Observation observation : observations) {
      if (observation instanceof JobObservation job) {
        ledger.see(job);
      } else if (observation instanceof VersionSent sent) {
        ledger.namedVersions.merge(sent.model(), sent.version(), Math::max);
      }
    }
    return ledger;
  }

  Collection<JobRecord> all() {
    return jobs.values();
  }

  Optional<JobRecord> find(String job) {
    return Optional.ofNullable(jobs.get(job));
  }

  /** The jobs that an item stands in; groups that were not whole may return in a later one. */
  List<JobRecord> withItem(String item) {
    return jobsByItem.getOrDefault(item, List.of());
  }

  boolean isScoreCall(String id) {
    return jobsByScore.containsKey(id);
  }

  private void see(JobObservation observation) {
    if (observation instanceof JobPlanned planned) {
      add(new JobRecord(planned.plan(), leastVersion(planned.plan().model())));
      return;
    }
    JobRecord job = jobs.get(observation.job());
    if (job == null) {
      return;
    }
    long atMillis = observation.atMillis();
    if (observation instanceof JobSent sent) {
      job.sent(sent.attempt(), atMillis);
    } else if (observation instanceof JobAccepted) {
      job.acceptedMillis = Math.min(job.acceptedMillis, atMillis);
    } else if (observation instanceof JobRefused refused) {
      job.refused(refused.attempt());
    } else if (observation instanceof EndAsked) {
      job.endAskedMillis = Math.min(job.endAskedMillis, atMillis);
    } else if (observation instanceof EndAcknowledged) {
      job.endAcknowledgedMillis = Math.min(job.endAcknowledgedMillis, atMillis);
    }
  }

  /** A trainer allows the newest version that is named and so many before it. */
  private long leastVersion(String model) {
    return Math.max(
        FIRST_VERSION, namedVersions.getOrDefault(model, FIRST_VERSION) - versionsBehind);
  }

  private void add(JobRecord job) {
    jobs.put(job.plan().id(), job);
    job.plan()
        .items()
        .forEach(
            item -> {
              jobsByItem.computeIfAbsent(item.id(), ignored -> new ArrayList<>()).add(job);
              if (!item.scoreId().isEmpty()) {
                jobsByScore.put(item.scoreId(), job);
              }
            });
  }
}
