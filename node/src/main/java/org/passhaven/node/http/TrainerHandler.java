package org.passhaven.node.http;

import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.node.run.RolloutService;
import org.passhaven.protocol.Prompt;
import org.passhaven.protocol.Sample;

/** Trainers' interface; docs/API.md describes it. */
final class TrainerHandler {
  private static final long LIMIT_MILLIS = 30_000;
  private static final long MOST_WAIT_MILLIS = 30_000;
  private static final int MOST_SAMPLES = 1_000;
  private static final int MOST_SAMPLES_IN_STEP = 65_536;

  record PromptBody(String text, long seed) {}

  record StepBody(long step, List<PromptBody> prompts, int samplesPerPrompt) {}

  record PullBody(List<Long> cursor, long trainerVersion, int most, long waitMillis) {}

  record PullAnswer(List<Sample> samples, List<Long> cursor, int total, boolean complete) {}

  record VersionBody(long version) {}

  record Done(boolean done) {}

  private final RolloutService rollouts;

  TrainerHandler(RolloutService rollouts) {
    this.rollouts = Objects.requireNonNull(rollouts, "rollouts");
  }

  void addTo(Router router) {
    router.post("/v1/trainers/:trainer/steps").handler(this::submit);
    router.post("/v1/trainers/:trainer/steps/:step/pull").handler(this::pull);
    router.put("/v1/trainers/:trainer/version").handler(this::stateVersion);
    router.delete("/v1/trainers/:trainer/run").handler(this::end);
  }

  private void submit(RoutingContext routing) {
    StepBody body = Answers.body(routing, StepBody.class);
    List<String> errors = check(body);
    if (!errors.isEmpty()) {
      Answers.problem(
          routing, Problem.notRun(Answers.UNPROCESSABLE, "the step is not valid", errors), 0);
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
            LIMIT_MILLIS)
        .subscribe()
        .with(
            ignored -> Answers.json(routing, Answers.ACCEPTED, new Done(true)),
            failure -> Answers.failure(routing, failure));
  }

  private static List<String> check(StepBody body) {
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
    if ((long) body.prompts().size() * body.samplesPerPrompt() > MOST_SAMPLES_IN_STEP) {
      errors.add("prompts: at most " + MOST_SAMPLES_IN_STEP + " samples in a step");
    }
    for (int index = 0; index < body.prompts().size(); index++) {
      if (body.prompts().get(index) == null || body.prompts().get(index).text() == null) {
        errors.add("prompts[" + index + "].text: must be given");
      }
    }
    return errors;
  }

  private void pull(RoutingContext routing) {
    PullBody body = Answers.body(routing, PullBody.class);
    long step = parseStep(routing);
    int most = Math.max(1, Math.min(MOST_SAMPLES, body.most()));
    long wait = Math.max(0, Math.min(MOST_WAIT_MILLIS, body.waitMillis()));
    List<Long> cursor = body.cursor() == null ? List.of() : body.cursor();
    if (cursor.stream().anyMatch(position -> position == null || position < 0)) {
      throw new Answers.BadBodyException("cursor: positions must not be below 0");
    }
    rollouts
        .pull(
            routing.pathParam("trainer"),
            step,
            cursor,
            body.trainerVersion(),
            most,
            wait,
            LIMIT_MILLIS)
        .subscribe()
        .with(
            pulled ->
                Answers.json(
                    routing,
                    Answers.OK,
                    new PullAnswer(
                        pulled.samples(), pulled.cursor(), pulled.total(), pulled.isComplete())),
            failure -> Answers.failure(routing, failure));
  }

  private static long parseStep(RoutingContext routing) {
    try {
      return Long.parseLong(routing.pathParam("step"));
    } catch (NumberFormatException e) {
      throw new Answers.BadBodyException("step: must be a whole number");
    }
  }

  private void stateVersion(RoutingContext routing) {
    VersionBody body = Answers.body(routing, VersionBody.class);
    if (body.version() < 0) {
      throw new Answers.BadBodyException("version: must not be below 0");
    }
    rollouts
        .reportVersion(routing.pathParam("trainer"), body.version(), LIMIT_MILLIS)
        .subscribe()
        .with(
            ignored -> Answers.json(routing, Answers.OK, new Done(true)),
            failure -> Answers.failure(routing, failure));
  }

  private void end(RoutingContext routing) {
    rollouts
        .end(routing.pathParam("trainer"), LIMIT_MILLIS)
        .subscribe()
        .with(
            ignored -> Answers.json(routing, Answers.OK, new Done(true)),
            failure -> Answers.failure(routing, failure));
  }
}
