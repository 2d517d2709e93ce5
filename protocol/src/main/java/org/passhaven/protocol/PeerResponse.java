package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Answers to {@link PeerRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerResponse.Done.class, name = "d"),
  @JsonSubTypes.Type(value = PeerResponse.NotOwner.class, name = "no"),
  @JsonSubTypes.Type(value = PeerResponse.Refused.class, name = "r"),
  @JsonSubTypes.Type(value = PeerResponse.Samples.class, name = "s"),
  @JsonSubTypes.Type(value = PeerResponse.GossipAnswer.class, name = "g"),
  @JsonSubTypes.Type(value = PeerResponse.ProbeAnswer.class, name = "p"),
  @JsonSubTypes.Type(value = PeerResponse.Revision.class, name = "rv"),
  @JsonSubTypes.Type(value = PeerResponse.Configuration.class, name = "c"),
  @JsonSubTypes.Type(value = PeerResponse.Carried.class, name = "ca")
})
public sealed interface PeerResponse {
  /** The request took effect durably. */
  record Done() implements PeerResponse {}

  /** The receiver does not hold the lease; {@code ownerAddress} is empty if it knows no holder. */
  record NotOwner(String ownerAddress) implements PeerResponse {}

  /** The request was refused and had no effect. */
  record Refused(String reason) implements PeerResponse {}

  /**
   * Samples after the cursor, in order; {@code slots} is the number that the step has in this
   * shard.
   */
  record Samples(List<Sample> samples, int slots) implements PeerResponse {}

  /** The receiver's own state and its news. */
  record GossipAnswer(MemberState sender, List<MemberState> news) implements PeerResponse {}

  /** Whether the target answered. */
  record ProbeAnswer(boolean reached) implements PeerResponse {}

  /**
   * Outcome of a request that was carried for another node.
   *
   * @param status HTTP status if it was answered
   * @param reason why, if it was not answered
   * @param retryAfterMillis when to come back if it was refused; 0 if unknown
   */
  record Carried(
      Word word, int status, String contentType, byte[] body, String reason, long retryAfterMillis)
      implements PeerResponse {
    /** What the caller is to be told. */
    public enum Word {
      ANSWERED,
      REFUSED_NOT_RUN,
      OUTCOME_UNKNOWN
    }
  }

  /** Revision in force. */
  record Revision(long revision) implements PeerResponse {}

  /** The whole configuration at a revision; empty documents if not newer than asked. */
  record Configuration(long revision, List<ConfigurationDocument> documents)
      implements PeerResponse {}
}
