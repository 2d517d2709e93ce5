package org.passhaven.node.request;

import org.passhaven.protocol.PeerResponse;
import org.passhaven.protocol.PeerResponse.Carried;
import org.passhaven.spi.ServiceBackEnd.Response;

/** Converts request outcomes to and from the messages that nodes exchange. */
final class RequestOutcomeCodec {
  private static final byte[] NO_BODY = new byte[0];

  private RequestOutcomeCodec() {}

  static PeerResponse toMessage(RequestOutcome outcome) {
    if (outcome instanceof RequestOutcome.Answered answered) {
      Response response = answered.response();
      return new Carried(
          Carried.Outcome.ANSWERED,
          response.status(),
          response.contentType(),
          response.body(),
          "",
          0);
    }
    if (outcome instanceof RequestOutcome.RefusedNotRun refused) {
      return new Carried(
          Carried.Outcome.REFUSED_NOT_RUN,
          0,
          "",
          NO_BODY,
          refused.reason(),
          refused.retryAfterMillis());
    }
    String reason = ((RequestOutcome.OutcomeUnknown) outcome).reason();
    return new Carried(Carried.Outcome.OUTCOME_UNKNOWN, 0, "", NO_BODY, reason, 0);
  }

  static RequestOutcome toOutcome(Carried carried) {
    return switch (carried.word()) {
      case ANSWERED ->
          new RequestOutcome.Answered(
              new Response(carried.status(), carried.contentType(), carried.body()));
      case REFUSED_NOT_RUN ->
          new RequestOutcome.RefusedNotRun(carried.reason(), carried.retryAfterMillis());
      case OUTCOME_UNKNOWN -> new RequestOutcome.OutcomeUnknown(carried.reason());
    };
  }
}
