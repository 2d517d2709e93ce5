package org.passhaven.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.passhaven.core.configuration.ConfigurationParser.SourceFile;
import org.passhaven.standin.Address;

/** Calls a node's operators' interface. */
final class OperatorClient implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final int FIRST_ERROR_STATUS = 400;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final String DEFAULT_NODE = "127.0.0.1:8080";
  private final Vertx vertx = Vertx.vertx();
  private final WebClient client = WebClient.create(vertx);
  private final Address node;

  private OperatorClient(Address node) {
    this.node = node;
  }

  static org.apache.commons.cli.Option option() {
    return Flags.withValue(
        "server", "HOST:PORT", "address of any node; " + DEFAULT_NODE + " if not given");
  }

  static OperatorClient of(CommandLine line) throws CommandException {
    return to(Flags.text(line, "server", DEFAULT_NODE));
  }

  static OperatorClient to(String address) throws CommandException {
    try {
      return new OperatorClient(Address.parse(address));
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }

  JsonNode get(String path) throws CommandException {
    return send(HttpMethod.GET, path, null);
  }

  JsonNode post(String path) throws CommandException {
    return send(HttpMethod.POST, path, JSON.createObjectNode());
  }

  JsonNode apply(List<SourceFile> files, String operator, Long expectedRevision)
      throws CommandException {
    ObjectNode body = JSON.createObjectNode();
    files.forEach(
        file ->
            body.withArray("files")
                .addObject()
                .put("name", file.name())
                .put("content", file.content()));
    body.put("operator", operator);
    body.put("expectedRevision", expectedRevision);
    return send(HttpMethod.PUT, "/v1/configuration", body);
  }

  private JsonNode send(HttpMethod method, String path, JsonNode body) throws CommandException {
    HttpResponse<Buffer> response;
    try {
      var request = client.request(method, node.port(), node.host(), path);
      response =
          (body == null ? request.send() : request.sendBuffer(Buffer.buffer(body.toString())))
              .await()
              .atMost(LIMIT);
    } catch (RuntimeException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, "node " + node + " can't be reached: " + e.getMessage());
    }
    JsonNode answer = parse(response);
    if (response.statusCode() >= FIRST_ERROR_STATUS) {
      throw new CommandException(exitCode(response.statusCode()), text(answer));
    }
    return answer;
  }

  private JsonNode parse(HttpResponse<Buffer> response) throws CommandException {
    try {
      return JSON.readTree(response.body() == null ? new byte[0] : response.body().getBytes());
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, "node " + node + " gave an answer that can't be read");
    }
  }

  private static ExitCode exitCode(int status) {
    return switch (status) {
      case CONFLICT -> ExitCode.CONFLICT;
      case UNPROCESSABLE -> ExitCode.INVALID;
      default -> ExitCode.UNREACHABLE;
    };
  }

  private static String text(JsonNode problem) {
    StringBuilder text = new StringBuilder(problem.path("title").asText("the node refused"));
    problem.path("errors").forEach(error -> text.append('\n').append(error.asText()));
    return text.toString();
  }

  @Override
  public void close() {
    vertx.closeAndAwait();
  }
}
