package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A log record of a shard, of the configuration, of an intent or of a snapshot of a stream; their
 * state is rebuilt by replaying these records. Jobs, duties, heartbeats and usage have record types
 * of their own.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LogRecord.LeaseClaimed.class, name = "lc"),
  @JsonSubTypes.Type(value = LogRecord.LeaseRenewed.class, name = "lr"),
  @JsonSubTypes.Type(value = LogRecord.LeaseReleased.class, name = "lx"),
  @JsonSubTypes.Type(value = LogRecord.StepSubmitted.class, name = "ss"),
  @JsonSubTypes.Type(value = LogRecord.SamplesCommitted.class, name = "sc"),
  @JsonSubTypes.Type(value = LogRecord.StepFinished.class, name = "sf"),
  @JsonSubTypes.Type(value = LogRecord.TrainerVersionStated.class, name = "tv"),
  @JsonSubTypes.Type(value = LogRecord.RunEnded.class, name = "re"),
  @JsonSubTypes.Type(value = LogRecord.ConfigurationApplied.class, name = "ca"),
  @JsonSubTypes.Type(value = LogRecord.IntentRecorded.class, name = "ir"),
  @JsonSubTypes.Type(value = LogRecord.IntentAnswered.class, name = "ia"),
  @JsonSubTypes.Type(value = LogRecord.IntentWithdrawn.class, name = "iw"),
  @JsonSubTypes.Type(value = LogRecord.SnapshotTaken.class, name = "sn")
})
public sealed interface LogRecord {
  /**
   * A record that only the holder of a shard's lease may write; readers ignore it if its epoch is
   * stale.
   */
  sealed interface Fenced extends LogRecord {
    /** Returns the epoch of the lease under which the record was written. */
    long epoch();
  }

  /** Claim of a lease. Valid if {@code epoch} is one more than the last epoch applied. */
  record LeaseClaimed(long epoch, NodeId owner, String ownerAddress, long termMillis)
      implements LogRecord {}

  /** Renewal of a lease by its holder; any other fenced record of the holder renews it as well. */
  record LeaseRenewed(long epoch) implements Fenced {}

  /** Release of a lease; a successor may claim it immediately. */
  record LeaseReleased(long epoch) implements Fenced {}

  /** Submission of a training step with {@code prompts.size() * samplesPerPrompt} slots. */
  record StepSubmitted(long epoch, long step, List<Prompt> prompts, int samplesPerPrompt)
      implements Fenced {
    public StepSubmitted {
      prompts = List.copyOf(prompts);
    }
  }

  /**
   * Assignment of samples to delivery positions. The log does not contain the samples; lost ones
   * are regenerated.
   */
  record SamplesCommitted(long epoch, long step, List<Commit> commits) implements Fenced {
    public SamplesCommitted {
      commits = List.copyOf(commits);
    }
  }

  /**
   * End of a step: the trainer's cursor has passed the last position, so the state of the step may
   * be dropped.
   */
  record StepFinished(long epoch, long step) implements Fenced {}

  /** The trainer's current weight version. */
  record TrainerVersionStated(long epoch, long version) implements Fenced {}

  /** End of the run; it accepts no more steps. */
  record RunEnded(long epoch) implements Fenced {}

  /**
   * A new configuration revision, as changes against revision {@code base}. Valid if the base is
   * the newest revision.
   */
  record ConfigurationApplied(
      long base, String operator, List<ConfigurationDocument> changed, List<String> removed)
      implements LogRecord {
    public ConfigurationApplied {
      changed = List.copyOf(changed);
      removed = List.copyOf(removed);
    }
  }

  /** Intent to send a non-repeatable request; the first record of a key wins. */
  record IntentRecorded(String key, long requestDigest) implements LogRecord {}

  /** Response to the request with this key. */
  record IntentAnswered(String key, int status, String contentType, byte[] body)
      implements LogRecord {}

  /** Withdrawal of an intent: no byte of the request was sent, so it may be retried. */
  record IntentWithdrawn(String key) implements LogRecord {}

  /**
   * Snapshot of a stream's state up to, but not including, {@code throughOffset}; stored in a
   * separate stream.
   */
  record SnapshotTaken(long throughOffset, byte[] image) implements LogRecord {}

  /**
   * Assignment of a slot to a delivery position. A later attempt at the same position replaces an
   * earlier one.
   */
  record Commit(
      long position, int slot, int attempt, long oldestVersion, long newestVersion, long digest) {}
}
