package org.passhaven.node.gateway;

import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionRequest;
import org.passhaven.core.admission.ServiceAdmission.Load;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs requests that admission control queues or rejects. Not thread-safe. */
final class AdmissionLogger {
  private static final Logger LOG = LoggerFactory.getLogger(RequestAdmission.class);
  private static final long SECOND_MILLIS = 1_000;

  /** Limits the log volume under overload; the metrics count every rejection. */
  private static final int MAX_REJECTIONS_PER_SECOND = 20;

  /** Earlier than any clock reading, yet safe to subtract without overflow. */
  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private long secondStartMillis = NEVER_MILLIS;
  private int linesInSecond;

  /** Logs that a request was queued. */
  void onQueued(String id, AdmissionRequest request, Load load, double expectedWaitMillis) {
    newEvent(Level.DEBUG, id, request, load)
        .addKeyValue("expectedWaitMillis", (long) expectedWaitMillis)
        .log("admission: waits");
  }

  /** Logs that a request was rejected before it was sent, up to a limit per second. */
  void onRejected(String id, AdmissionRequest request, Load load, Reject decision, long nowMillis) {
    if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
      secondStartMillis = nowMillis;
      linesInSecond = 0;
    }
    if (linesInSecond++ < MAX_REJECTIONS_PER_SECOND) {
      newEvent(Level.INFO, id, request, load)
          .addKeyValue("leftMillis", request.deadlineMillis() - nowMillis)
          .addKeyValue("retryAfterMillis", decision.retryAfterMillis())
          .addKeyValue("reason", decision.reason().text())
          .log("admission: rejected");
    }
  }

  private static LoggingEventBuilder newEvent(
      Level level, String id, AdmissionRequest request, Load load) {
    return LOG.atLevel(level)
        .addKeyValue("request", id)
        .addKeyValue("service", request.service())
        .addKeyValue("tenant", request.tenant())
        .addKeyValue("source", request.source())
        .addKeyValue("priority", request.priority())
        .addKeyValue("inProgress", load.inProgress())
        .addKeyValue("waiting", load.waiting())
        .addKeyValue("limit", load.limit());
  }
}
