package org.passhaven.node.http;

import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.node.run.RolloutService;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;

/**
 * Handles trainers' HTTP requests: to submit steps, pull samples, report the weight version and end
 * the run. docs/API.md describes them.
 */
final class TrainerHandler {
  private static final long REQUEST_TIMEOUT_MILLIS = 30_000;
  private static final long MAX_WAIT_MILLIS = 30_000;
  private static final int MAX_SAMPLES_PER_PULL = 1_000;
  private static final int MAX_SAMPLES_PER_STEP = 65_536;

  record PromptBody(String text, long seed) {}

  record StepBody(long step, List<PromptBody> prompts, int samplesPerPrompt) {}

  record PullBody(List<Long> cursor, long trainerVersion, int most, long waitMillis) {}

  record PullResponse(List<Sample> samples, List<Long> cursor, int total, boolean complete) {}

  record VersionBody(long version) {}

  record Done(boolean done) {}

  private final RolloutService rollouts;

  TrainerHandler(RolloutService rollouts) {
    this.rollouts = Objects.requireNonNull(rollouts, "rollouts");
  }

  void addTo(Router router) {
    router.post("/v1/trainers/:trainer/steps").handler(this::submit);
    router.post("/v1/trainers/:trainer/steps/:step/pull").handler(this::pull);
    router.put("/v1/trainers/:trainer/version").handler(this::reportVersion);
    router.delete("/v1/trainers/:trainer/run").handler(this::end);
  }

  private void submit(RoutingContext routing) {
    StepBody body = HttpMessages.readBody(routing, StepBody.class);
    List<String> errors = validate(body);
    if (!errors.isEmpty()) {
      HttpMessages.sendProblem(
          routing, Problem.notRun(HttpMessages.UNPROCESSABLE, "the step is not valid", errors), 0);
      return;
    }
    List<Prompt> prompts = new ArrayList<>();
    for (PromptBody prompt : body.prompts()) {
      prompts.add(new Prompt(prompts.size(), prompt.text(), prompt.seed()));
    }
    rollouts
        .submit(
            routing.pathParam("trainer"),
            body.step(),
            prompts,
            body.samplesPerPrompt(),
            REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            ignored -> HttpMessages.sendJson(routing, HttpMessages.ACCEPTED, new Done(true)),
            failure -> HttpMessages.sendFailure(routing, failure));
  }

  private static List<String> validate(StepBody body) {
    List<String> errors = new ArrayList<>();
    if (body.step() < 0) {
      errors.add("step: must not be below 0");
    }
    if (body.samplesPerPrompt() < 1) {
      errors.add("samplesPerPrompt: must be at least 1");
    }
    if (body.prompts() == null || body.prompts().isEmpty()) {
      errors.add("prompts: must not be empty");
      return errors;
    }
    if ((long) body.prompts().size() * body.samplesPerPrompt() > MAX_SAMPLES_PER_STEP) {
      errors.add("prompts: at most " + MAX_SAMPLES_PER_STEP + " samples in a step");
    }
    for (int index = 0; index < body.prompts().size(); index++) {
      if (body.prompts().get(index) == null || body.prompts().get(index).text() == null) {
        errors.add("prompts[" + index + "].text: must be given");
      }
    }
    return errors;
  }

  private void pull(RoutingContext routing) {
    PullBody body = HttpMessages.readBody(routing, PullBody.class);
    long step = parseStep(routing);
    int maxSamples = Math.max(1, Math.min(MAX_SAMPLES_PER_PULL, body.most()));
    long waitMillis = Math.max(0, Math.min(MAX_WAIT_MILLIS, body.waitMillis()));
    List<Long> cursor = body.cursor() == null ? List.of() : body.cursor();
    if (cursor.stream().anyMatch(position -> position == null || position < 0)) {
      throw new HttpMessages.InvalidRequestException("cursor: positions must not be below 0");
    }
    rollouts
        .pull(
            routing.pathParam("trainer"),
            step,
            cursor,
            body.trainerVersion(),
            maxSamples,
            waitMillis,
            REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            pulled ->
                HttpMessages.sendJson(
                    routing,
                    HttpMessages.OK,
                    new PullResponse(
                        pulled.samples(), pulled.cursor(), pulled.total(), pulled.isComplete())),
            failure -> HttpMessages.sendFailure(routing, failure));
  }

  private static long parseStep(RoutingContext routing) {
    try {
      return Long.parseLong(routing.pathParam("step"));
    } catch (NumberFormatException e) {
      throw new HttpMessages.InvalidRequestException("step: must be a whole number");
    }
  }

  private void reportVersion(RoutingContext routing) {
    VersionBody body = HttpMessages.readBody(routing, VersionBody.class);
    if (body.version() < 0) {
      throw new HttpMessages.InvalidRequestException("version: must not be below 0");
    }
    rollouts
        .reportVersion(routing.pathParam("trainer"), body.version(), REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            ignored -> HttpMessages.sendJson(routing, HttpMessages.OK, new Done(true)),
            failure -> HttpMessages.sendFailure(routing, failure));
  }

  private void end(RoutingContext routing) {
    rollouts
        .end(routing.pathParam("trainer"), REQUEST_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            ignored -> HttpMessages.sendJson(routing, HttpMessages.OK, new Done(true)),
            failure -> HttpMessages.sendFailure(routing, failure));
  }
}
