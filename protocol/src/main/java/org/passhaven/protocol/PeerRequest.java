package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** A request from one passhaven node to another. */
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
   * A request that only the owner of a shard serves; any other node responds with {@link
   * PeerResponse.NotOwner}.
   */
  sealed interface ToOwner extends PeerRequest {
    /** Returns the shard that the request is for. */
    ShardId shard();
  }

  /** Submits a training step. Idempotent. */
  record SubmitStep(ShardId shard, long step, List<Prompt> prompts, int samplesPerPrompt)
      implements ToOwner {}

  /**
   * Requests the samples from {@code cursor} on; advancing the cursor acknowledges all samples
   * before it.
   */
  record PullSamples(
      ShardId shard, long step, long cursor, long trainerVersion, int most, long waitMillis)
      implements ToOwner {}

  /** Reports the trainer's current weight version. */
  record StateVersion(ShardId shard, long version) implements ToOwner {}

  /** Ends the run of the shard. */
  record EndRun(ShardId shard) implements ToOwner {}

  /** Heartbeat of {@code sender} with recent state changes of other members. */
  record Gossip(MemberState sender, List<MemberState> news) implements PeerRequest {}

  /**
   * Indirect probe: asks the receiver to send a heartbeat to {@code target} on behalf of a node
   * that could not reach it.
   */
  record Probe(MemberState sender, NodeId target, String targetAddress) implements PeerRequest {}

  /**
   * Asks the node responsible for the intents of a key to forward a request with that key.
   *
   * @param callId identity of the call, unique over all nodes and incarnations; a duplicate gets
   *     the same response as the first call
   * @param deadlineMillis time left for the response
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

  /** Requests the configuration revision that the receiver uses. */
  record FetchRevision() implements PeerRequest {}

  /**
   * Requests the receiver's configuration if newer than {@code newerThan}; used by nodes that start
   * while the log is down.
   */
  record FetchConfiguration(long newerThan) implements PeerRequest {}
}
