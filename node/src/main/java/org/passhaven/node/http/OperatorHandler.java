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

/**
 * Handles operators' HTTP requests: to apply or show the configuration, to show the status and the
 * revisions of the nodes, and to drain this node. docs/API.md describes them.
 */
final class OperatorHandler {
  private static final long DRAIN_TIMEOUT_MILLIS = 30_000;

  record FileBody(String name, String content) {}

  record ApplyBody(List<FileBody> files, String operator, Long expectedRevision) {}

  record ApplyResponse(long revision, boolean changed) {}

  record ConfigurationResponse(long revision, List<ConfigurationDocument> documents) {}

  record MemberResponse(String node, String zone, String address, String status, long revision) {}

  record StatusResponse(
      MemberResponse self,
      List<MemberResponse> others,
      List<String> ownedShards,
      int followedShards,
      boolean ready) {}

  record RevisionsResponse(List<Node.NodeRevision> nodes) {}

  private final Node node;
  private final ConfigurationParser parser = new ConfigurationParser();

  OperatorHandler(Node node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  void addTo(Router router) {
    router.put("/v1/configuration").handler(this::apply);
    router.get("/v1/configuration").handler(this::sendConfiguration);
    router.get("/v1/status").handler(this::sendStatus);
    router.get("/v1/revisions").handler(this::sendRevisions);
    router.post("/v1/drain").handler(this::drain);
  }

  private void apply(RoutingContext routing) {
    ApplyBody body = HttpMessages.readBody(routing, ApplyBody.class);
    List<ConfigurationDocument> documents;
    try {
      documents = parser.parse(files(body));
    } catch (ConfigurationException e) {
      HttpMessages.sendProblem(
          routing,
          Problem.notRun(HttpMessages.UNPROCESSABLE, "the configuration is not valid", e.errors()),
          0);
      return;
    }
    long expected = body.expectedRevision() == null ? -1 : body.expectedRevision();
    String operator = body.operator() == null ? "" : body.operator();
    node.configuration()
        .apply(documents, expected, operator)
        .subscribe()
        .with(
            result -> sendApplyResult(routing, result),
            failure -> HttpMessages.sendFailure(routing, failure));
  }

  private static List<ConfigurationParser.SourceFile> files(ApplyBody body) {
    List<ConfigurationParser.SourceFile> files = new ArrayList<>();
    for (FileBody file : body.files() == null ? List.<FileBody>of() : body.files()) {
      if (file == null || file.name() == null || file.content() == null) {
        throw new HttpMessages.InvalidRequestException("files: each needs name and content");
      }
      files.add(new ConfigurationParser.SourceFile(file.name(), file.content()));
    }
    return files;
  }

  private static void sendApplyResult(RoutingContext routing, ApplyResult result) {
    if (result instanceof ApplyResult.Accepted accepted) {
      HttpMessages.sendJson(routing, HttpMessages.OK, new ApplyResponse(accepted.revision(), true));
    } else if (result instanceof ApplyResult.Unchanged unchanged) {
      HttpMessages.sendJson(
          routing, HttpMessages.OK, new ApplyResponse(unchanged.revision(), false));
    } else if (result instanceof ApplyResult.NotAllowed notAllowed) {
      HttpMessages.sendProblem(
          routing,
          Problem.notRun(
              HttpMessages.UNPROCESSABLE, "the change is not allowed", notAllowed.errors()),
          0);
    } else if (result instanceof ApplyResult.Conflict conflict) {
      String title =
          "revision "
              + conflict.newestRevision()
              + " by "
              + conflict.newestOperator()
              + " came first";
      HttpMessages.sendProblem(routing, Problem.notRun(HttpMessages.CONFLICT, title), 0);
    } else {
      HttpMessages.sendProblem(
          routing, Problem.notRun(HttpMessages.UNAVAILABLE, "the log can't be written"), 2_000);
    }
  }

  private void sendConfiguration(RoutingContext routing) {
    HttpMessages.sendJson(
        routing,
        HttpMessages.OK,
        new ConfigurationResponse(
            node.configuration().activeSnapshot().revision(), node.configuration().documents()));
  }

  private void sendStatus(RoutingContext routing) {
    Node.Status status = node.status();
    HttpMessages.sendJson(
        routing,
        HttpMessages.OK,
        new StatusResponse(
            toResponse(status.self()),
            status.others().stream().map(OperatorHandler::toResponse).toList(),
            status.ownedShards().stream().map(Object::toString).sorted().toList(),
            status.followedShardCount(),
            status.ready()));
  }

  private static MemberResponse toResponse(MemberState state) {
    return new MemberResponse(
        state.node().value(),
        state.zone(),
        state.address(),
        state.status().name(),
        state.revision());
  }

  /**
   * Responds with the current configuration revision of every live node; 0 for a node that does not
   * respond.
   */
  private void sendRevisions(RoutingContext routing) {
    node.revisions()
        .subscribe()
        .with(
            revisions ->
                HttpMessages.sendJson(routing, HttpMessages.OK, new RevisionsResponse(revisions)),
            failure -> HttpMessages.sendFailure(routing, failure));
  }

  private void drain(RoutingContext routing) {
    node.stop(DRAIN_TIMEOUT_MILLIS)
        .subscribe()
        .with(
            ignored ->
                HttpMessages.sendJson(routing, HttpMessages.OK, new TrainerHandler.Done(true)),
            failure -> HttpMessages.sendFailure(routing, failure));
  }
}
