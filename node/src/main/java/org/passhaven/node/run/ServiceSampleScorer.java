package org.passhaven.node.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.io.IOException;
import java.util.Objects;
import org.passhaven.node.NodeContext;
import org.passhaven.node.request.RequestOutcome;
import org.passhaven.node.request.RequestService;
import org.passhaven.protocol.Sample;
import org.passhaven.spi.ServiceBackEnd;

/**
 * Scores samples with a configured service: sends a summary of the sample to {@code /score} and
 * reads the field {@code score} of the response.
 */
public final class ServiceSampleScorer implements SampleScorer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long RETRY_DELAY_MILLIS = 500;
  private static final int STATUS_OK = 200;

  /** The JSON body of a scoring request. */
  private record Body(int promptIndex, int sampleIndex, int tokens, long digest) {}

  private final NodeContext context;
  private final RequestService requests;

  /** Creates a scorer that sends its requests through {@code requests}. */
  public ServiceSampleScorer(NodeContext context, RequestService requests) {
    this.context = Objects.requireNonNull(context, "context");
    this.requests = Objects.requireNonNull(requests, "requests");
  }

  @Override
  public Uni<Double> score(String service, Sample sample) {
    byte[] body = encode(sample);
    return Uni.createFrom().emitter(emitter -> attempt(service, body, emitter));
  }

  private void attempt(String service, byte[] body, UniEmitter<? super Double> emitter) {
    var request = new ServiceBackEnd.Request("PUT", "/score", "application/json", body, "");
    requests
        .call(new RequestService.CallerRequest(service, request, "", 0))
        .subscribe()
        .with(
            outcome -> {
              if (outcome instanceof RequestOutcome.Answered answered
                  && answered.response().status() == STATUS_OK) {
                complete(answered.response().body(), service, body, emitter);
              } else {
                context.timers().after(RETRY_DELAY_MILLIS, () -> attempt(service, body, emitter));
              }
            });
  }

  private void complete(
      byte[] response, String service, byte[] body, UniEmitter<? super Double> emitter) {
    try {
      JsonNode node = MAPPER.readTree(response);
      emitter.complete(node.path("score").asDouble());
    } catch (IOException e) {
      context.timers().after(RETRY_DELAY_MILLIS, () -> attempt(service, body, emitter));
    }
  }

  private static byte[] encode(Sample sample) {
    try {
      return MAPPER.writeValueAsBytes(
          new Body(
              sample.promptIndex(),
              sample.sampleIndex(),
              sample.tokenCount(),
              org.passhaven.core.run.SampleDigest.of(sample)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a sample's summary can't be written", e);
    }
  }
}
