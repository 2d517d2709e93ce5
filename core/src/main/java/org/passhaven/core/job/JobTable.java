package org.passhaven.core.job;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobSubmission;

/**
 * Fold of the records of jobs. All readers of a partition hold the same jobs, results and
 * positions. A record that says again what an earlier one said is ignored. Not thread-safe.
 */
public final class JobTable {
  /** What folding one record did to a job. */
  public enum Effect {
    /** A copy, or a record of an unknown job. */
    IGNORED,
    /** The last piece of a job came whose whole can't be decoded: nobody can run or read it. */
    UNREADABLE,
    /** The job is accepted. */
    ACCEPTED,
    /** An item got its result. */
    LISTED,
    /** The caller ended the job. */
    ENDED
  }

  private record PartKey(String job, long attempt) {}

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> open = new LinkedHashMap<>();
  private final Set<String> knownRuns = new HashSet<>();
  private final Map<PartKey, List<byte[]>> piecesByAppend = new HashMap<>();
  private final Map<String, Long> endedBeforeAcceptance = new HashMap<>();

  /** Folds one record that was read at {@code nowMillis}. */
  public Effect apply(JobRecord.OfJob record, long nowMillis) {
    if (record instanceof JobRecord.JobPart part) {
      return onPart(part, nowMillis);
    }
    Job job = jobs.get(record.job());
    if (job == null) {
      if (record instanceof JobRecord.JobEnded) {
        endedBeforeAcceptance.put(record.job(), nowMillis);
      }
      return Effect.IGNORED;
    }
    Effect effect;
    if (record instanceof JobRecord.ItemFinished result) {
      effect = job.addResult(result) ? Effect.LISTED : Effect.IGNORED;
    } else {
      effect = job.markEnded() ? Effect.ENDED : Effect.IGNORED;
    }
    updateOpenJobs(job);
    return effect;
  }

  private void updateOpenJobs(Job job) {
    if (job.isOpen()) {
      open.put(job.id(), job);
    } else {
      open.remove(job.id());
    }
  }

  private Effect onPart(JobRecord.JobPart part, long nowMillis) {
    if (jobs.containsKey(part.job())) {
      return Effect.IGNORED;
    }
    PartKey key = new PartKey(part.job(), part.attempt());
    List<byte[]> pieces = piecesByAppend.computeIfAbsent(key, unused -> new ArrayList<>());
    if (part.part() != pieces.size()) {
      return Effect.IGNORED;
    }
    pieces.add(part.content());
    if (pieces.size() < part.parts()) {
      return Effect.IGNORED;
    }
    piecesByAppend.keySet().removeIf(other -> other.job().equals(part.job()));
    return accept(part.job(), pieces, nowMillis);
  }

  private Effect accept(String id, List<byte[]> pieces, long nowMillis) {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    pieces.forEach(whole::writeBytes);
    try {
      Job job = new Job(Codec.decode(whole.toByteArray(), JobSubmission.class), nowMillis);
      jobs.put(id, job);
      knownRuns.add(job.submission().run());
      if (endedBeforeAcceptance.remove(id) != null) {
        job.markEnded();
      }
      updateOpenJobs(job);
      return Effect.ACCEPTED;
    } catch (CodecException e) {
      return Effect.UNREADABLE;
    }
  }

  /** A job; null if it is unknown or forgotten. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** Jobs with items still to be run, in the order of their acceptance. */
  public Collection<Job> open() {
    return open.values();
  }

  /** Whether some job of a run is known and not forgotten yet, open or not. */
  public boolean hasJobsOf(String run) {
    return knownRuns.contains(run);
  }

  /** Forgets what was accepted before {@code beforeMillis} and is not open. */
  public void forget(long beforeMillis) {
    jobs.values().removeIf(job -> job.acceptedAtMillis() < beforeMillis && !job.isOpen());
    knownRuns.clear();
    jobs.values().forEach(job -> knownRuns.add(job.submission().run()));
    endedBeforeAcceptance.values().removeIf(at -> at < beforeMillis);
  }
}
