package org.passhaven.node.http;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.passhaven.core.configuration.ModelSettings;
import org.passhaven.core.routing.EnginePicker;
import org.passhaven.core.routing.EngineView;
import org.passhaven.core.routing.LeastLoadedPicker;
import org.passhaven.node.Node;
import org.passhaven.node.backend.EngineUse;
import org.passhaven.protocol.Segment;
import org.passhaven.spi.EngineService.GenerationRequest;
import org.passhaven.standin.HttpEngineService;

/**
 * Handles interactive completion requests in the format of common client libraries; responds with
 * JSON or server-sent events.
 */
final class CompletionHandler {
  private static final String ENGINE_USER = "completions";
  private static final int INTERACTIVE_PRIORITY = 100_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  @com.fasterxml.jackson.annotation.JsonIgnoreProperties(ignoreUnknown = true)
  record Body(String model, String prompt, Long seed, Boolean stream) {
    Body {
      seed = seed == null ? 0 : seed;
      stream = stream != null && stream;
    }
  }

  record Choice(int index, String text, int[] tokens, long weightVersion, String finishReason) {}

  record Chunk(String id, String object, String model, List<Choice> choices) {}

  private final Node node;
  private long nextId = 1;

  CompletionHandler(Node node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  void addTo(Router router) {
    router.post("/v1/completions").handler(this::handle);
  }

  private void handle(RoutingContext routing) {
    Body body = HttpMessages.readBody(routing, Body.class);
    ModelSettings model =
        body.model() == null
            ? null
            : node.configuration().activeSnapshot().models().get(body.model());
    if (model == null || body.prompt() == null) {
      HttpMessages.sendProblem(
          routing,
          Problem.notRun(
              HttpMessages.UNPROCESSABLE, "model and prompt are needed, the model configured"),
          0);
      return;
    }
    EngineUse use =
        new EngineUse(
            ENGINE_USER,
            model.engineGroup(),
            node.completionPartIndex(),
            node.completionPartCount(),
            node.context().settings().minEngineSubsetSize());
    node.engines()
        .registerUse(
            use, () -> node.configuration().activeSnapshot().models().containsKey(body.model()));
    EnginePicker picker =
        new LeastLoadedPicker(node.engines().views(use), node.context().settings().zone());
    Optional<EngineView> engine = picker.pick(0, null);
    if (engine.isEmpty()) {
      HttpMessages.sendProblem(
          routing,
          Problem.notRun(HttpMessages.UNAVAILABLE, "no engine has room"),
          RETRY_AFTER_MILLIS);
      return;
    }
    generate(routing, body, engine.get());
  }

  private void generate(RoutingContext routing, Body body, EngineView engine) {
    String id =
        node.context().settings().node() + "-" + node.context().incarnation() + "-" + nextId++;
    GenerationRequest request =
        new GenerationRequest(
            id, body.model(), body.prompt(), body.seed(), new int[0], INTERACTIVE_PRIORITY);
    List<Choice> choices = new ArrayList<>();
    node.engines().onGenerationStarted(engine.id());
    Cancellable generation =
        node.context()
            .platform()
            .engines()
            .generate(engine.address(), request)
            .onTermination()
            .invoke(
                (failure, cancelled) ->
                    node.engines().onGenerationEnded(engine.id(), failure != null))
            .subscribe()
            .with(
                segment -> onSegment(routing, body, id, choices, segment),
                failure -> onFailure(routing, failure),
                () -> onFinished(routing, body, id, choices));
    routing.response().closeHandler(generation::cancel);
  }

  private static void onSegment(
      RoutingContext routing, Body body, String id, List<Choice> choices, Segment segment) {
    Choice choice = new Choice(0, "", segment.tokens(), segment.version(), null);
    if (!body.stream()) {
      choices.add(choice);
      return;
    }
    if (!routing.response().headWritten()) {
      routing.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    writeEvent(
        routing,
        new String(
            HttpMessages.toJson(chunk(id, body, List.of(choice))),
            java.nio.charset.StandardCharsets.UTF_8));
  }

  private static void onFinished(
      RoutingContext routing, Body body, String id, List<Choice> choices) {
    if (!body.stream()) {
      HttpMessages.sendJson(routing, HttpMessages.OK, chunk(id, body, choices));
      return;
    }
    writeEvent(routing, HttpEngineService.END_OF_STREAM);
    routing.response().endAndForget();
  }

  private static void onFailure(RoutingContext routing, Throwable failure) {
    if (routing.response().headWritten()) {
      // Resets the stream so that the caller doesn't take a partial response for a complete one.
      routing.response().reset();
      return;
    }
    HttpMessages.sendFailure(routing, failure);
  }

  private static Chunk chunk(String id, Body body, List<Choice> choices) {
    return new Chunk(id, "text_completion", body.model(), choices);
  }

  private static void writeEvent(RoutingContext routing, String data) {
    routing.response().writeAndForget(Buffer.buffer("data: " + data + "\n\n"));
  }
}
