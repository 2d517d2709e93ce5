package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Response to a {@link PeerRequest}. */
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

  /**
   * The receiver does not hold the lease; {@code ownerAddress} is empty if the holder is unknown.
   */
  record NotOwner(String ownerAddress) implements PeerResponse {}

  /** The request was refused and had no effect. */
  record Refused(String reason) implements PeerResponse {}

  /**
   * Samples from the cursor on, in order; {@code slots} is the number of slots of the step in this
   * shard.
   */
  record Samples(List<Sample> samples, int slots) implements PeerResponse {}

  /** The receiver's own state and recent state changes of other members. */
  record GossipAnswer(MemberState sender, List<MemberState> news) implements PeerResponse {}

  /** Result of an indirect probe: whether the target responded. */
  record ProbeAnswer(boolean reached) implements PeerResponse {}

  /**
   * Outcome of a request that was forwarded for another node.
   *
   * @param status HTTP status, if there was a response
   * @param reason reason why there was no response
   * @param retryAfterMillis delay before a retry if the request was refused; 0 if unknown
   */
  record Carried(
      Outcome word,
      int status,
      String contentType,
      byte[] body,
      String reason,
      long retryAfterMillis)
      implements PeerResponse {
    /** Outcome reported to the caller. */
    public enum Outcome {
      ANSWERED,
      REFUSED_NOT_RUN,
      OUTCOME_UNKNOWN
    }
  }

  /** The configuration revision that the receiver uses. */
  record Revision(long revision) implements PeerResponse {}

  /** The whole configuration at a revision; without documents if it is not newer than requested. */
  record Configuration(long revision, List<ConfigurationDocument> documents)
      implements PeerResponse {}
}
