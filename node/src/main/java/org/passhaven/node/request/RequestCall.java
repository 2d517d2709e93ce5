package org.passhaven.node.request;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.configuration.ServiceSettings;
import org.passhaven.core.configuration.ServiceSettings.RequestClass;
import org.passhaven.node.NodeContext;
import org.passhaven.node.request.RequestService.CallerRequest;
import org.passhaven.protocol.ServerId;

/** Holds the state of a caller's request in flight, including whether it may have run. */
final class RequestCall {
  private static final long NO_SERVER_RETRY_AFTER_MILLIS = 500;
  final CallerRequest caller;
  final ServiceSettings settings;
  final RequestClass requestClass;
  final long deadlineMillis;
  final boolean forwarded;
  final Set<ServerId> triedServers = new HashSet<>();
  boolean mayHaveRun;

  /**
   * Creates a call.
   *
   * @param deadlineMillis time on the node's monotonic clock by which the caller gets the outcome
   * @param forwarded whether another node accepted the request and forwarded it to this one
   */
  RequestCall(
      CallerRequest caller, ServiceSettings settings, long deadlineMillis, boolean forwarded) {
    this.caller = Objects.requireNonNull(caller, "caller");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.deadlineMillis = deadlineMillis;
    this.forwarded = forwarded;
    this.requestClass = settings.classOf(caller.request().method(), caller.request().path());
  }

  /** Returns the idempotency key, prefixed with the service's name. */
  String key() {
    return caller.service() + ":" + caller.request().idempotencyKey();
  }

  /** Returns whether an intent must be durable before the first byte is sent. */
  boolean needsIntent() {
    return requestClass == RequestClass.AT_MOST_ONCE
        && !caller.request().idempotencyKey().isEmpty();
  }

  /** Returns the milliseconds remaining until the deadline. */
  long remainingMillis(NodeContext context) {
    return deadlineMillis - context.timers().nowMillis();
  }

  /** Returns the final outcome of a request that no server answered. */
  RequestOutcome noResponseOutcome() {
    return mayHaveRun
        ? new RequestOutcome.OutcomeUnknown(
            "no answer came from a server that may have run the request")
        : new RequestOutcome.RefusedNotRun(
            "no server took the request", NO_SERVER_RETRY_AFTER_MILLIS);
  }
}
