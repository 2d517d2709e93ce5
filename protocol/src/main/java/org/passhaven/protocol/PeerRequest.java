package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Requests between passhaven nodes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerRequest.SubmitStep.class, name = "ss"),
  @JsonSubTypes.Type(value = PeerRequest.PullSamples.class, name = "ps"),
  @JsonSubTypes.Type(value = PeerRequest.StateVersion.class, name = "sv"),
  @JsonSubTypes.Type(value = PeerRequest.EndRun.class, name = "er"),
  @JsonSubTypes.Type(value = PeerRequest.Gossip.class, name = "g"),
  @JsonSubTypes.Type(value = PeerRequest.Probe.class, name = "p"),
  @JsonSubTypes.Type(value = PeerRequest.FetchRevision.class, name = "fr"),
  @JsonSubTypes.Type(value = PeerRequest.FetchConfiguration.class, name = "fc"),
  @JsonSubTypes.Type(value = PeerRequest.CarryRequest.class, name = "cr")
})
public sealed interface PeerRequest {
  /**
   * A request that only the owner of a shard serves; any other node answers {@link
   * PeerResponse.NotOwner}.
   */
  sealed interface ToOwner extends PeerRequest {
    /** The shard. */
    ShardId shard();
  }

  /** Plans a step; repeating it is harmless. */
  record SubmitStep(ShardId shard, long step, List<Prompt> prompts, int samplesPerPrompt)
      implements ToOwner {}

  /**
   * Asks for the samples after {@code cursor}; a cursor that moved is the acknowledgement of all
   * before it.
   */
  record PullSamples(
      ShardId shard, long step, long cursor, long trainerVersion, int most, long waitMillis)
      implements ToOwner {}

  /** States the trainer's current weight version. */
  record StateVersion(ShardId shard, long version) implements ToOwner {}

  /** Ends the run of the shard. */
  record EndRun(ShardId shard) implements ToOwner {}

  /** Heartbeat of {@code sender} with what it has newly heard of others. */
  record Gossip(MemberState sender, List<MemberState> news) implements PeerRequest {}

  /** Asks the receiver to send a heartbeat to {@code target} for a node that could not reach it. */
  record Probe(MemberState sender, NodeId target, String targetAddress) implements PeerRequest {}

  /**
   * Asks the node that keeps a key's stream of intents to carry a request under that key.
   *
   * @param callId unique over all nodes and starts; a copy of the message is answered as the first
   *     was
   * @param deadlineMillis time left to an answer
   */
  record CarryRequest(
      String callId,
      String service,
      String method,
      String path,
      String contentType,
      byte[] body,
      String key,
      long deadlineMillis)
      implements PeerRequest {}

  /** Asks for the configuration revision in force at the receiver. */
  record FetchRevision() implements PeerRequest {}

  /**
   * Asks for the receiver's configuration if newer than {@code newerThan}; for starts while the log
   * is down.
   */
  record FetchConfiguration(long newerThan) implements PeerRequest {}
}
