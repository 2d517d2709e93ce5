package org.passhaven.emulator.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.List;
import java.util.Objects;
import org.passhaven.emulator.load.TrainerApi;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;
import org.passhaven.standin.Address;

/** A trainer's calls over HTTP; a failed call goes to the next node. */
final class HttpTrainerApi implements TrainerApi {
  private static final long LIMIT_MILLIS = 15_000;
  private static final int FIRST_ERROR_STATUS = 400;
  private static final int MOST_SAMPLES = 200;

  record PromptBody(String text, long seed) {}

  record StepBody(long step, List<PromptBody> prompts, int samplesPerPrompt) {}

  record PullBody(List<Long> cursor, long trainerVersion, int most, long waitMillis) {}

  record PullAnswer(List<Sample> samples, List<Long> cursor, int total, boolean complete) {}

  record VersionBody(long version) {}

  private final WebClient client;
  private final List<String> nodes;
  private int current;

  HttpTrainerApi(WebClient client, List<String> nodes) {
    this.client = Objects.requireNonNull(client, "client");
    this.nodes = List.copyOf(nodes);
  }

  @Override
  public Uni<Void> submit(String trainer, long step, List<Prompt> prompts, int samplesPerPrompt) {
    List<PromptBody> bodies =
        prompts.stream().map(prompt -> new PromptBody(prompt.text(), prompt.seed())).toList();
    return send(
            HttpMethod.POST,
            "/v1/trainers/" + trainer + "/steps",
            new StepBody(step, bodies, samplesPerPrompt))
        .replaceWithVoid();
  }

  @Override
  public Uni<Pulled> pull(
      String trainer, long step, List<Long> cursor, long trainerVersion, long waitMillis) {
    String path = "/v1/trainers/" + trainer + "/steps/" + step + "/pull";
    return send(
            HttpMethod.POST, path, new PullBody(cursor, trainerVersion, MOST_SAMPLES, waitMillis))
        .map(
            response -> {
              PullAnswer answer = Exchange.parse(response.body().getBytes(), PullAnswer.class);
              return new Pulled(answer.samples(), answer.cursor(), answer.complete());
            });
  }

  @Override
  public Uni<Void> stateVersion(String trainer, long version) {
    return send(HttpMethod.PUT, "/v1/trainers/" + trainer + "/version", new VersionBody(version))
        .replaceWithVoid();
  }

  private Uni<HttpResponse<Buffer>> send(HttpMethod method, String path, Object body) {
    Address to = Address.parse(nodes.get(current % nodes.size()));
    return client
        .request(method, to.port(), to.host(), path)
        .timeout(LIMIT_MILLIS)
        .putHeader("Content-Type", "application/json")
        .sendBuffer(Buffer.buffer(Exchange.write(body)))
        .invoke(
            response -> {
              if (response.statusCode() >= FIRST_ERROR_STATUS) {
                throw new IllegalStateException(
                    "status " + response.statusCode() + ": " + response.bodyAsString());
              }
            })
        .onFailure()
        .invoke(() -> current++);
  }
}
