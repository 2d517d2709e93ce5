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
  @JsonSubTypes.Type(value = PeerResponse.Configuration.class, name = "c")
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

  /** Revision in force. */
  record Revision(long revision) implements PeerResponse {}

  /** The whole configuration at a revision; empty documents if not newer than asked. */
  record Configuration(long revision, List<ConfigurationDocument> documents)
      implements PeerResponse {}
}
