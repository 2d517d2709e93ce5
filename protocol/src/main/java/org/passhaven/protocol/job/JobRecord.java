package org.passhaven.protocol.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;

/**
 * A log record of one of the partitions that the runs are divided among. The state of the jobs is
 * rebuilt by replaying these records. The first of several equivalent records wins, so duplicates,
 * late records and records of former owners of a run have no effect.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = JobRecord.RunClaimed.class, name = "rt"),
  @JsonSubTypes.Type(value = JobRecord.JobPart.class, name = "jp"),
  @JsonSubTypes.Type(value = JobRecord.ItemFinished.class, name = "il"),
  @JsonSubTypes.Type(value = JobRecord.JobEnded.class, name = "je")
})
public sealed interface JobRecord {
  /** A record about a single job. */
  sealed interface OfJob extends JobRecord {
    /** Returns the name of the job. */
    String job();
  }

  /**
   * Claim of a run by a node, which executes its jobs from now on. Valid if the epoch is higher
   * than the last one applied and the writer had read past the newest claim of the current runner.
   * The runner repeats the record before the log truncates it. Two concurrent runners are safe; the
   * claim only avoids duplicate work.
   *
   * @param readTo offset up to which the writer had read the partition
   */
  record RunClaimed(String run, long epoch, String node, long incarnation, long readTo)
      implements JobRecord {
    public RunClaimed {
      Objects.requireNonNull(run, "run");
      Objects.requireNonNull(node, "node");
    }
  }

  /**
   * A part of an encoded {@link JobSubmission}; the job is accepted with its last part.
   *
   * @param attempt identity of the append that the part belongs to; parts of different attempts are
   *     never combined
   */
  record JobPart(String job, long attempt, int part, int parts, byte[] content) implements OfJob {
    public JobPart {
      Objects.requireNonNull(job, "job");
      Objects.requireNonNull(content, "content");
    }
  }

  /**
   * The result of an item; the order of these records is the order of the job's results. The text
   * is stored as a {@link ResultText} in a separate stream, since every node reads these records
   * but few need the text.
   *
   * @param completed whether the text is complete; if not, the item was abandoned
   * @param text location of the text; null if the text is empty
   * @param versions weight versions that generated the text, in ascending order
   * @param score score from the scoring service; empty if there is none
   */
  record ItemFinished(
      String job,
      String item,
      boolean completed,
      TextLocation text,
      List<Long> versions,
      String score)
      implements OfJob {
    public ItemFinished {
      Objects.requireNonNull(job, "job");
      Objects.requireNonNull(item, "item");
      versions = List.copyOf(versions);
      Objects.requireNonNull(score, "score");
    }
  }

  /** End of a job, requested by the caller. */
  record JobEnded(String job) implements OfJob {}
}
