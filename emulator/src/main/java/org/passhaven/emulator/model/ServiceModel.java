package org.passhaven.emulator.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.passhaven.emulator.check.Checker;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.ServiceBackEnd.Request;
import org.passhaven.spi.ServiceBackEnd.Response;

/**
 * A service server: claim lookups, flags, price queries, sales, scores. Answers name the request
 * that they answer.
 */
public final class ServiceModel {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int STATUS_OK = 200;
  private static final int SCORE_RANGE = 1_000;

  /** Body of an answer. */
  public record Answer(String path, long bodyDigest, double score) {}

  private final ServerId id;
  private final Checker checker;
  private boolean leaving;

  /** Creates a server that tells the checker of each run. */
  public ServiceModel(ServerId id, Checker checker) {
    this.id = Objects.requireNonNull(id, "id");
    this.checker = Objects.requireNonNull(checker, "checker");
  }

  /** Name. */
  public ServerId id() {
    return id;
  }

  /** Whether it takes no more requests. */
  public boolean isLeaving() {
    return leaving;
  }

  /** The platform wants the server to go. */
  public void setLeaving() {
    leaving = true;
  }

  /** Runs a request. */
  public Response run(Request request) {
    checker.onRequestRun(request.path(), id);
    long digest = java.util.Arrays.hashCode(request.body());
    Answer answer =
        new Answer(
            request.path(), digest, Math.floorMod(digest, SCORE_RANGE) / (double) SCORE_RANGE);
    try {
      return new Response(
          STATUS_OK,
          "application/json",
          MAPPER.writeValueAsString(answer).getBytes(StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer can't be written", e);
    }
  }
}
