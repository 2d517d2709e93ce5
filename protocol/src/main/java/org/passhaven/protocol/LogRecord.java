package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Everything that passhaven writes to the platform's log. State is a fold of these records. */
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
   * A record that only the holder of a shard's lease may write; readers ignore it under a stale
   * epoch.
   */
  sealed interface Fenced extends LogRecord {
    /** Epoch of the lease under which the record was written. */
    long epoch();
  }

  /** Claim of a lease. Valid if {@code epoch} is one more than the epoch folded so far. */
  record LeaseClaimed(long epoch, NodeId owner, String ownerAddress, long termMillis)
      implements LogRecord {}

  /** The holder is alive; each other fenced record of the holder renews as well. */
  record LeaseRenewed(long epoch) implements Fenced {}

  /** The holder stops; a successor may claim at once. */
  record LeaseReleased(long epoch) implements Fenced {}

  /** Plan of one training step: its slots are {@code prompts.size() * samplesPerPrompt}. */
  record StepSubmitted(long epoch, long step, List<Prompt> prompts, int samplesPerPrompt)
      implements Fenced {
    public StepSubmitted {
      prompts = List.copyOf(prompts);
    }
  }

  /** Samples bound to delivery positions. Content is not in the log: it is regenerated if lost. */
  record SamplesCommitted(long epoch, long step, List<Commit> commits) implements Fenced {
    public SamplesCommitted {
      commits = List.copyOf(commits);
    }
  }

  /** The trainer's cursor went past the last position; the step's state may be dropped. */
  record StepFinished(long epoch, long step) implements Fenced {}

  /** The weight version that the trainer trains on now. */
  record TrainerVersionStated(long epoch, long version) implements Fenced {}

  /** The run takes no more steps. */
  record RunEnded(long epoch) implements Fenced {}

  /**
   * A whole configuration, as changes against revision {@code base}. Valid if the base is the
   * newest.
   */
  record ConfigurationApplied(
      long base, String operator, List<ConfigurationDocument> changed, List<String> removed)
      implements LogRecord {
    public ConfigurationApplied {
      changed = List.copyOf(changed);
      removed = List.copyOf(removed);
    }
  }

  /** A non-repeatable request is about to be sent; the first record of a key wins. */
  record IntentRecorded(String key, long requestDigest) implements LogRecord {}

  /** The answer that the request of this key got. */
  record IntentAnswered(String key, int status, String contentType, byte[] body)
      implements LogRecord {}

  /** No byte of the request of this key was sent: a repeat may run. */
  record IntentWithdrawn(String key) implements LogRecord {}

  /**
   * Image of a stream's fold up to, but not including, {@code throughOffset}; kept in a stream of
   * its own.
   */
  record SnapshotTaken(long throughOffset, byte[] image) implements LogRecord {}

  /**
   * Binding of a slot to a delivery position. A later attempt at the same position replaces an
   * earlier one.
   */
  record Commit(
      long position, int slot, int attempt, long oldestVersion, long newestVersion, long digest) {}
}
