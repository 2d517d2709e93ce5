package org.passhaven.core.job;

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
 * Replicated state of the jobs of a partition, built by applying its records. All readers have the
 * same jobs, results and positions. Duplicate records are ignored. Not thread-safe.
 */
public final class JobTable {
  /** Effect of applying one record. */
  public enum Effect {
    /** The record is a duplicate, a piece of an incomplete job, or of an unknown job. */
    IGNORED,
    /** All pieces of a job were read and can't be decoded, so that no node can run the job. */
    UNDECODABLE,
    /** The job was accepted. */
    ACCEPTED,
    /** The result of an item was added. */
    RESULT_RECORDED,
    /** The caller ended the job. */
    ENDED
  }

  private record PartKey(String job, long attempt) {}

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> openJobs = new LinkedHashMap<>();
  private final Set<String> knownRuns = new HashSet<>();
  private final Map<PartKey, List<byte[]>> piecesByAppend = new HashMap<>();
  private final Map<String, Long> endedBeforeAcceptance = new HashMap<>();

  /** Applies one record that was read at {@code nowMillis}, in monotonic milliseconds. */
  public Effect apply(JobRecord.OfJob record, long nowMillis) {
    if (record instanceof JobRecord.JobPart piece) {
      return onPart(piece, nowMillis);
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
      effect = job.addResult(result) ? Effect.RESULT_RECORDED : Effect.IGNORED;
    } else {
      effect = job.markEnded() ? Effect.ENDED : Effect.IGNORED;
    }
    updateOpenJobs(job);
    return effect;
  }

  private void updateOpenJobs(Job job) {
    if (job.isOpen()) {
      openJobs.put(job.id(), job);
    } else {
      openJobs.remove(job.id());
    }
  }

  private Effect onPart(JobRecord.JobPart piece, long nowMillis) {
    if (jobs.containsKey(piece.job())) {
      return Effect.IGNORED;
    }
    PartKey key = new PartKey(piece.job(), piece.attempt());
    List<byte[]> pieces = piecesByAppend.computeIfAbsent(key, unused -> new ArrayList<>());
    if (piece.part() != pieces.size()) {
      return Effect.IGNORED;
    }
    if (pieces.size() + 1 < piece.parts()) {
      pieces.add(piece.content());
      return Effect.IGNORED;
    }
    // If memory runs out here, the last piece is delivered again and finds the others.
    List<byte[]> all = new ArrayList<>(pieces);
    all.add(piece.content());
    Effect effect = accept(piece.job(), all, nowMillis);
    piecesByAppend.keySet().removeIf(other -> other.job().equals(piece.job()));
    return effect;
  }

  private Effect accept(String id, List<byte[]> pieces, long nowMillis) {
    try {
      Job job = new Job(Codec.decode(pieces, JobSubmission.class), nowMillis);
      jobs.put(id, job);
      knownRuns.add(job.submission().run());
      if (endedBeforeAcceptance.remove(id) != null) {
        job.markEnded();
      }
      updateOpenJobs(job);
      return Effect.ACCEPTED;
    } catch (CodecException e) {
      return Effect.UNDECODABLE;
    }
  }

  /** Returns a job; null if it is unknown or was removed. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** Returns the jobs with items to be run, in order of acceptance. */
  public Collection<Job> openJobs() {
    return openJobs.values();
  }

  /** Returns whether the table holds any job of a run, open or not. */
  public boolean hasJobsOf(String run) {
    return knownRuns.contains(run);
  }

  /** Removes jobs that were accepted before {@code beforeMillis} and are not open. */
  public void removeClosedJobs(long beforeMillis) {
    jobs.values().removeIf(job -> job.acceptedAtMillis() < beforeMillis && !job.isOpen());
    knownRuns.clear();
    jobs.values().forEach(job -> knownRuns.add(job.submission().run()));
    endedBeforeAcceptance.values().removeIf(endedAtMillis -> endedAtMillis < beforeMillis);
  }
}
