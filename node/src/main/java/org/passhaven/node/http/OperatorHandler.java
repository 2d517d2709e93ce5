package org.passhaven.node.http;

import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.node.Node;
import org.passhaven.node.configuration.ConfigurationAgent.ApplyResult;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.MemberState;

/** Operators' interface; docs/API.md describes it. */
final class OperatorHandler {
  private static final long STOP_LIMIT_MILLIS = 30_000;

  record FileBody(String name, String content) {}

  record ApplyBody(List<FileBody> files, String operator, Long expectedRevision) {}

  record ApplyAnswer(long revision, boolean changed) {}

  record ConfigurationAnswer(long revision, List<ConfigurationDocument> documents) {}

  record MemberAnswer(String node, String zone, String address, String status, long revision) {}

  record StatusAnswer(
      MemberAnswer self,
      List<MemberAnswer> others,
      List<String> ownedShards,
      int followedShards,
      boolean ready) {}

  record RevisionsAnswer(List<Node.NodeRevision> nodes) {}

  private final Node node;
  private final ConfigurationParser parser = new ConfigurationParser();

  OperatorHandler(Node node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  void addTo(Router router) {
    router.put("/v1/configuration").handler(this::apply);
    router.get("/v1/configuration").handler(this::configuration);
    router.get("/v1/status").handler(this::status);
    router.get("/v1/revisions").handler(this::revisions);
    router.post("/v1/drain").handler(this::drain);
  }

  private void apply(RoutingContext routing) {
    ApplyBody body = Answers.body(routing, ApplyBody.class);
    List<ConfigurationDocument> documents;
    try {
      documents = parser.parse(files(body));
    } catch (ConfigurationException e) {
      Answers.problem(
          routing,
          Problem.notRun(Answers.UNPROCESSABLE, "the configuration is not valid", e.errors()),
          0);
      return;
    }
    long expected = body.expectedRevision() == null ? -1 : body.expectedRevision();
    String operator = body.operator() == null ? "" : body.operator();
    node.configuration()
        .apply(documents, expected, operator)
        .subscribe()
        .with(result -> answer(routing, result), failure -> Answers.failure(routing, failure));
  }

  private static List<ConfigurationParser.SourceFile> files(ApplyBody body) {
    List<ConfigurationParser.SourceFile> files = new ArrayList<>();
    for (FileBody file : body.files() == null ? List.<FileBody>of() : body.files()) {
      if (file == null || file.name() == null || file.content() == null) {
        throw new Answers.BadBodyException("files: each needs name and content");
      }
      files.add(new ConfigurationParser.SourceFile(file.name(), file.content()));
    }
    return files;
  }

  private static void answer(RoutingContext routing, ApplyResult result) {
    if (result instanceof ApplyResult.Accepted accepted) {
      Answers.json(routing, Answers.OK, new ApplyAnswer(accepted.revision(), true));
    } else if (result instanceof ApplyResult.Unchanged unchanged) {
      Answers.json(routing, Answers.OK, new ApplyAnswer(unchanged.revision(), false));
    } else if (result instanceof ApplyResult.NotAllowed notAllowed) {
      Answers.problem(
          routing,
          Problem.notRun(Answers.UNPROCESSABLE, "the change is not allowed", notAllowed.errors()),
          0);
    } else if (result instanceof ApplyResult.Conflict conflict) {
      String title =
          "revision "
              + conflict.newestRevision()
              + " by "
              + conflict.newestOperator()
              + " came first";
      Answers.problem(routing, Problem.notRun(Answers.CONFLICT, title), 0);
    } else {
      Answers.problem(
          routing, Problem.notRun(Answers.UNAVAILABLE, "the log can't be written"), 2_000);
    }
  }

  private void configuration(RoutingContext routing) {
    Answers.json(
        routing,
        Answers.OK,
        new ConfigurationAnswer(
            node.configuration().activeImage().revision(), node.configuration().documents()));
  }

  private void status(RoutingContext routing) {
    Node.Status status = node.status();
    Answers.json(
        routing,
        Answers.OK,
        new StatusAnswer(
            member(status.self()),
            status.others().stream().map(OperatorHandler::member).toList(),
            status.ownedShards().stream().map(Object::toString).sorted().toList(),
            status.followed(),
            status.ready()));
  }

  private static MemberAnswer member(MemberState state) {
    return new MemberAnswer(
        state.node().value(),
        state.zone(),
        state.address(),
        state.status().name(),
        state.revision());
  }

  /**
   * Asks every live node which revision is in force there; a node that does not answer counts as at
   * 0.
   */
  private void revisions(RoutingContext routing) {
    node.revisions()
        .subscribe()
        .with(
            revisions -> Answers.json(routing, Answers.OK, new RevisionsAnswer(revisions)),
            failure -> Answers.failure(routing, failure));
  }

  private void drain(RoutingContext routing) {
    node.stop(STOP_LIMIT_MILLIS)
        .subscribe()
        .with(
            ignored -> Answers.json(routing, Answers.OK, new TrainerHandler.Done(true)),
            failure -> Answers.failure(routing, failure));
  }
}
