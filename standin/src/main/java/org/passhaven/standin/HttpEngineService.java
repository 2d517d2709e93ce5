package org.passhaven.standin;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpClientRequest;
import io.vertx.mutiny.core.http.HttpClientResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.passhaven.protocol.Segment;
import org.passhaven.protocol.ServerId;
import org.passhaven.spi.EngineService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;

/**
 * Engines over HTTP: completions as server-sent events, orders and reports as JSON, each call over
 * a connection of its own.
 */
public final class HttpEngineService implements EngineService {
  /** Line that ends a stream of events, as client libraries of this ecosystem expect. */
  public static final String END_OF_STREAM = "[DONE]";

  private static final String DATA_PREFIX = "data: ";
  private static final int STATUS_OK = 200;
  private static final long REPORT_LIMIT_MILLIS = 2_000;
  private static final long ORDER_LIMIT_MILLIS = 60_000;

  /** One event of a completion stream. */
  public record Event(int[] tokens, long weightVersion, String engine, long incarnation) {}

  private record OrderAnswer(OrderOutcome outcome) {}

  private final JsonHttp json;
  private final HttpClient streams;

  /** Creates a client with connections of its own. */
  public HttpEngineService(Vertx vertx, WebClientOptions options) {
    WebClientOptions oneCallEach = BackEndConnections.oneCallEach(options);
    this.json = new JsonHttp(WebClient.create(vertx, oneCallEach));
    this.streams = vertx.createHttpClient(oneCallEach);
  }

  @Override
  public Uni<Report> report(String address) {
    return json.get(address, "/v1/load", Report.class, REPORT_LIMIT_MILLIS);
  }

  @Override
  public Uni<OrderOutcome> order(String address, VersionOrder order) {
    return json.post(address, "/v1/orders", order, OrderAnswer.class, ORDER_LIMIT_MILLIS)
        .map(OrderAnswer::outcome);
  }

  @Override
  public Multi<Segment> generate(String address, GenerationRequest request) {
    return Multi.createFrom().emitter(emitter -> open(address, request, emitter));
  }

  private void open(
      String address, GenerationRequest request, MultiEmitter<? super Segment> emitter) {
    Address to = Address.parse(address);
    RequestOptions options =
        new RequestOptions()
            .setHost(to.host())
            .setPort(to.port())
            .setMethod(HttpMethod.POST)
            .setURI("/v1/completions")
            .putHeader("Content-Type", "application/json");
    streams
        .request(options)
        .subscribe()
        .with(
            opened -> send(opened, request, emitter),
            failure ->
                emitter.fail(
                    new PlatformException(
                        Kind.NOT_RUN, address + ": " + failure.getMessage(), failure)));
  }

  private static void send(
      HttpClientRequest opened, GenerationRequest request, MultiEmitter<? super Segment> emitter) {
    AtomicBoolean ended = new AtomicBoolean();
    emitter.onTermination(
        () -> {
          // Resetting a stream that has ended would only raise an error that nobody waits for.
          if (ended.compareAndSet(false, true)) {
            opened.getDelegate().reset();
          }
        });
    opened
        .send(Buffer.buffer(JsonHttp.write(request)))
        .subscribe()
        .with(
            response -> receive(response, ended, emitter),
            failure -> fail(ended, emitter, JsonHttp.asPlatformException(failure, "completion")));
  }

  private static void fail(
      AtomicBoolean ended, MultiEmitter<? super Segment> emitter, PlatformException failure) {
    if (ended.compareAndSet(false, true)) {
      emitter.fail(failure);
    }
  }

  private static void receive(
      HttpClientResponse response, AtomicBoolean ended, MultiEmitter<? super Segment> emitter) {
    if (response.statusCode() != STATUS_OK) {
      Kind kind = response.getHeader(Headers.NOT_RUN) != null ? Kind.NOT_RUN : Kind.OUTCOME_UNKNOWN;
      fail(ended, emitter, new PlatformException(kind, "engine status " + response.statusCode()));
      return;
    }
    RecordParser lines =
        RecordParser.newDelimited(
            "\n\n", event -> onEvent(event.toString(StandardCharsets.UTF_8), ended, emitter));
    response.getDelegate().handler(lines);
    response
        .getDelegate()
        .exceptionHandler(
            failure -> fail(ended, emitter, JsonHttp.asPlatformException(failure, "completion")));
    response
        .getDelegate()
        .endHandler(
            ignored ->
                fail(
                    ended,
                    emitter,
                    new PlatformException(Kind.OUTCOME_UNKNOWN, "completion stream ended early")));
  }

  private static void onEvent(
      String event, AtomicBoolean ended, MultiEmitter<? super Segment> emitter) {
    String data = event.startsWith(DATA_PREFIX) ? event.substring(DATA_PREFIX.length()) : "";
    if (data.equals(END_OF_STREAM)) {
      ended.set(true);
      emitter.complete();
    } else if (!data.isEmpty()) {
      emit(data, ended, emitter);
    }
  }

  private static void emit(
      String data, AtomicBoolean ended, MultiEmitter<? super Segment> emitter) {
    try {
      Event event = JsonHttp.parse(data.getBytes(StandardCharsets.UTF_8), Event.class);
      emitter.emit(
          new Segment(
              event.weightVersion(),
              new ServerId(event.engine()),
              event.incarnation(),
              event.tokens()));
    } catch (PlatformException e) {
      fail(ended, emitter, e);
    }
  }
}
