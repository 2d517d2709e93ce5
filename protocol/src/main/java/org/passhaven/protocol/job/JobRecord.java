package org.passhaven.protocol.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;

/**
 * Records of a partition of jobs. Their fold is the jobs' state; of two records that say the same
 * thing the first wins, so a copy, a late record or one of a former runner changes nothing.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = JobRecord.RunTaken.class, name = "rt"),
  @JsonSubTypes.Type(value = JobRecord.JobPart.class, name = "jp"),
  @JsonSubTypes.Type(value = JobRecord.ItemFinished.class, name = "il"),
  @JsonSubTypes.Type(value = JobRecord.JobEnded.class, name = "je")
})
public sealed interface JobRecord {
  /** A record of one job. */
  sealed interface OfJob extends JobRecord {
    /** Name of the job. */
    String job();
  }

  /**
   * A node runs the jobs of a run from now on; valid if its epoch is higher than the one folded so
   * far, and its writer had read to behind the runner's newest claim. The runner writes it again
   * before the log drops it. Two runners harm nothing: this keeps them from doing the same work.
   *
   * @param readTo offset up to which the writer had read the partition
   */
  record RunTaken(String run, long epoch, String node, long incarnation, long readTo)
      implements JobRecord {
    public RunTaken {
      Objects.requireNonNull(run, "run");
      Objects.requireNonNull(node, "node");
    }
  }

  /**
   * A piece of an encoded {@link JobSubmission}; the job is accepted with its last piece.
   *
   * @param attempt names the append that the piece belongs to; pieces of two are never mixed
   */
  record JobPart(String job, long attempt, int part, int parts, byte[] content) implements OfJob {
    public JobPart {
      Objects.requireNonNull(job, "job");
      Objects.requireNonNull(content, "content");
    }
  }

  /**
   * The result of an item; its place among the job's results is its position. The text itself is a
   * {@link ResultText} in a stream of its own, since every node reads these records and hardly any
   * one the text.
   *
   * @param completed whether the item has its whole text; else it is given up
   * @param text where the text is; null if it is empty
   * @param versions weight versions that made the text, rising
   * @param score what the scorer gave; empty if there is none
   */
  record ItemFinished(
      String job, String item, boolean completed, TextPlace text, List<Long> versions, String score)
      implements OfJob {
    public ItemFinished {
      Objects.requireNonNull(job, "job");
      Objects.requireNonNull(item, "item");
      versions = List.copyOf(versions);
      Objects.requireNonNull(score, "score");
    }
  }

  /** The caller wants no more of the job. */
  record JobEnded(String job) implements OfJob {}
}
