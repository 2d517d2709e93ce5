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

/** What trainers ask for, over all shards of their run. */
public final class RolloutService {
  /** A trainer's request that can't be served as it is. */
  public static final class RolloutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the error. */
    public RolloutException(String message) {
      super(message);
    }
  }

  /**
   * Samples after a cursor.
   *
   * @param cursor cursor after these samples: one position for each shard
   * @param total samples in the step
   */
  public record PullResult(List<Sample> samples, List<Long> cursor, int total) {
    /** Whether the cursor is past the last sample. */
    public boolean isComplete() {
      return cursor.stream().mapToLong(Long::longValue).sum() >= total;
    }
  }

  private final OwnerClient owners;
  private final Supplier<ConfigurationSnapshot> configuration;

  /** Creates the service over the configuration in force. */
  public RolloutService(OwnerClient owners, Supplier<ConfigurationSnapshot> configuration) {
    this.owners = Objects.requireNonNull(owners, "owners");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
  }

  /** Submits a step; repeating it is harmless. Durable once it gives a result. */
  public Uni<Void> submit(
      String trainer, long step, List<Prompt> prompts, int samplesPerPrompt, long limitMillis) {
    int shards = settings(trainer).shards();
    List<Uni<PeerResponse>> parts = new ArrayList<>();
    for (int index = 0; index < shards; index++) {
      int shard = index;
      List<Prompt> part =
          prompts.stream().filter(prompt -> prompt.index() % shards == shard).toList();
      parts.add(
          owners.send(
              new PeerRequest.SubmitStep(new ShardId(trainer, shard), step, part, samplesPerPrompt),
              limitMillis,
              0));
    }
    return all(parts).invoke(RolloutService::failIfRefused).replaceWithVoid();
  }

  /**
   * Gives the samples after a cursor; waits up to {@code waitMillis} for a first one.
   *
   * @param cursor one position for each shard; empty for the start
   */
  public Uni<PullResult> pull(
      String trainer,
      long step,
      List<Long> cursor,
      long trainerVersion,
      int most,
      long waitMillis,
      long limitMillis) {
    int shards = settings(trainer).shards();
    List<Long> from = cursor.isEmpty() ? java.util.Collections.nCopies(shards, 0L) : cursor;
    if (from.size() != shards) {
      throw new RolloutException("the cursor must have " + shards + " positions");
    }
    List<Uni<PeerResponse>> parts = new ArrayList<>();
    for (int index = 0; index < shards; index++) {
      parts.add(
          owners.send(
              new PeerRequest.PullSamples(
                  new ShardId(trainer, index),
                  step,
                  from.get(index),
                  trainerVersion,
                  most,
                  waitMillis),
              limitMillis,
              waitMillis));
    }
    return all(parts).map(answers -> merge(from, answers));
  }

  private static PullResult merge(List<Long> from, List<PeerResponse> answers) {
    failIfRefused(answers);
    List<Sample> samples = new ArrayList<>();
    List<Long> cursor = new ArrayList<>();
    int total = 0;
    for (int index = 0; index < answers.size(); index++) {
      PeerResponse.Samples part = (PeerResponse.Samples) answers.get(index);
      samples.addAll(part.samples());
      cursor.add(from.get(index) + part.samples().size());
      total += part.slots();
    }
    return new PullResult(samples, cursor, total);
  }

  /** States the trainer's current weight version. */
  public Uni<Void> reportVersion(String trainer, long version, long limitMillis) {
    return toAll(trainer, limitMillis, shard -> new PeerRequest.StateVersion(shard, version));
  }

  /** Ends a run. */
  public Uni<Void> end(String trainer, long limitMillis) {
    return toAll(trainer, limitMillis, PeerRequest.EndRun::new);
  }

  private Uni<Void> toAll(
      String trainer,
      long limitMillis,
      java.util.function.Function<ShardId, PeerRequest.ToOwner> request) {
    List<Uni<PeerResponse>> parts = new ArrayList<>();
    for (int index = 0; index < settings(trainer).shards(); index++) {
      parts.add(owners.send(request.apply(new ShardId(trainer, index)), limitMillis, 0));
    }
    return all(parts).invoke(RolloutService::failIfRefused).replaceWithVoid();
  }

  private TrainerSettings settings(String trainer) {
    TrainerSettings settings = configuration.get().trainers().get(trainer);
    if (settings == null) {
      throw new RolloutException("no trainer " + trainer + " in the configuration");
    }
    return settings;
  }

  private static Uni<List<PeerResponse>> all(List<Uni<PeerResponse>> parts) {
    return Uni.join().all(parts).andFailFast();
  }

  private static void failIfRefused(List<PeerResponse> answers) {
    for (PeerResponse answer : answers) {
      if (answer instanceof PeerResponse.Refused refused) {
        throw new RolloutException(refused.reason());
      }
      if (answer instanceof PeerResponse.NotOwner) {
        throw new PlatformException(PlatformException.Kind.NOT_RUN, "the owner changed");
      }
    }
  }
}
