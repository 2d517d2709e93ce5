package org.passhaven.node.run;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.passhaven.core.configuration.ConfigurationSnapshot;
import org.passhaven.core.configuration.TrainerSettings;
import org.passhaven.protocol.PeerRequest;
import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;
import org.passhaven.protocol.ShardId;
import org.passhaven.spi.PlatformException;

/**
 * Handles trainers' requests by sending them to the owners of all shards of the run and merging the
 * responses.
 */
public final class RolloutService {
  /** Thrown when a trainer's request is invalid or was refused by a shard's owner. */
  public static final class RolloutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public RolloutException(String message) {
      super(message);
    }
  }

  /**
   * Represents the samples that a pull returned.
   *
   * @param cursor position in each shard after these samples, to be passed to the next pull
   * @param total number of samples in the step
   */
  public record PullResult(List<Sample> samples, List<Long> cursor, int total) {
    /** Returns whether the cursor is past the last sample of the step. */
    public boolean isComplete() {
      return cursor.stream().mapToLong(Long::longValue).sum() >= total;
    }
  }

  private final OwnerClient owners;
  private final Supplier<ConfigurationSnapshot> configuration;

  /** Creates the service; {@code configuration} supplies the current configuration. */
  public RolloutService(OwnerClient owners, Supplier<ConfigurationSnapshot> configuration) {
    this.owners = Objects.requireNonNull(owners, "owners");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
  }

  /** Submits a step. Idempotent; completes when the step is durable on all shards. */
  public Uni<Void> submit(
      String trainer, long step, List<Prompt> prompts, int samplesPerPrompt, long limitMillis) {
    int shards = settings(trainer).shards();
    List<Uni<PeerResponse>> calls = new ArrayList<>();
    for (int index = 0; index < shards; index++) {
      int shard = index;
      List<Prompt> part =
          prompts.stream().filter(prompt -> prompt.index() % shards == shard).toList();
      calls.add(
          owners.send(
              new PeerRequest.SubmitStep(new ShardId(trainer, shard), step, part, samplesPerPrompt),
              limitMillis,
              0));
    }
    return joinAll(calls).invoke(RolloutService::failIfRefused).replaceWithVoid();
  }

  /**
   * Returns the samples after a cursor; waits up to {@code waitMillis} if there are none.
   *
   * @param cursor position in each shard; empty to start at the first sample
   * @param maxSamples maximum number of samples per shard
   */
  public Uni<PullResult> pull(
      String trainer,
      long step,
      List<Long> cursor,
      long trainerVersion,
      int maxSamples,
      long waitMillis,
      long limitMillis) {
    int shards = settings(trainer).shards();
    List<Long> from = cursor.isEmpty() ? java.util.Collections.nCopies(shards, 0L) : cursor;
    if (from.size() != shards) {
      throw new RolloutException("the cursor must have " + shards + " positions");
    }
    List<Uni<PeerResponse>> calls = new ArrayList<>();
    for (int index = 0; index < shards; index++) {
      calls.add(
          owners.send(
              new PeerRequest.PullSamples(
                  new ShardId(trainer, index),
                  step,
                  from.get(index),
                  trainerVersion,
                  maxSamples,
                  waitMillis),
              limitMillis,
              waitMillis));
    }
    return joinAll(calls).map(responses -> merge(from, responses));
  }

  private static PullResult merge(List<Long> from, List<PeerResponse> responses) {
    failIfRefused(responses);
    List<Sample> samples = new ArrayList<>();
    List<Long> cursor = new ArrayList<>();
    int total = 0;
    for (int index = 0; index < responses.size(); index++) {
      PeerResponse.Samples part = (PeerResponse.Samples) responses.get(index);
      samples.addAll(part.samples());
      cursor.add(from.get(index) + part.samples().size());
      total += part.slots();
    }
    return new PullResult(samples, cursor, total);
  }

  /** Reports the trainer's current weight version to all shards. */
  public Uni<Void> reportVersion(String trainer, long version, long limitMillis) {
    return sendToAllShards(
        trainer, limitMillis, shard -> new PeerRequest.StateVersion(shard, version));
  }

  /** Ends the run on all shards. */
  public Uni<Void> end(String trainer, long limitMillis) {
    return sendToAllShards(trainer, limitMillis, PeerRequest.EndRun::new);
  }

  private Uni<Void> sendToAllShards(
      String trainer,
      long limitMillis,
      java.util.function.Function<ShardId, PeerRequest.ToOwner> request) {
    List<Uni<PeerResponse>> calls = new ArrayList<>();
    for (int index = 0; index < settings(trainer).shards(); index++) {
      calls.add(owners.send(request.apply(new ShardId(trainer, index)), limitMillis, 0));
    }
    return joinAll(calls).invoke(RolloutService::failIfRefused).replaceWithVoid();
  }

  private TrainerSettings settings(String trainer) {
    TrainerSettings settings = configuration.get().trainers().get(trainer);
    if (settings == null) {
      throw new RolloutException("no trainer " + trainer + " in the configuration");
    }
    return settings;
  }

  private static Uni<List<PeerResponse>> joinAll(List<Uni<PeerResponse>> calls) {
    return Uni.join().all(calls).andFailFast();
  }

  private static void failIfRefused(List<PeerResponse> responses) {
    for (PeerResponse response : responses) {
      if (response instanceof PeerResponse.Refused refused) {
        throw new RolloutException(refused.reason());
      }
      if (response instanceof PeerResponse.NotOwner) {
        throw new PlatformException(PlatformException.Kind.NOT_RUN, "the owner changed");
      }
    }
  }
}
