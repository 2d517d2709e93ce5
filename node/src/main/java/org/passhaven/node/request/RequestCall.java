package org.passhaven.node.request;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.configuration.ServiceSettings;
import org.passhaven.core.configuration.ServiceSettings.RequestClass;
import org.passhaven.node.NodeContext;
import org.passhaven.node.request.RequestService.CallerRequest;
import org.passhaven.protocol.ServerId;

/** One request on its way, with what is known of whether it may have run. */
final class RequestCall {
  private static final long NO_SERVER_RETRY_MILLIS = 500;
  final CallerRequest caller;
  final ServiceSettings settings;
  final RequestClass requestClass;
  final long deadlineMillis;
  final boolean forwarded;
  final Set<ServerId> tried = new HashSet<>();
  boolean mayHaveRun;

  /**
   * Creates a call.
   *
   * @param deadlineMillis moment, in the node's monotonic milliseconds, by which the caller is told
   * @param forwarded whether another node took it from its caller
   */
  RequestCall(
      CallerRequest caller, ServiceSettings settings, long deadlineMillis, boolean forwarded) {
    this.caller = Objects.requireNonNull(caller, "caller");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.deadlineMillis = deadlineMillis;
    this.forwarded = forwarded;
    this.requestClass = settings.classOf(caller.request().method(), caller.request().path());
  }

  /** Idempotency key within the service. */
  String key() {
    return caller.service() + ":" + caller.request().idempotencyKey();
  }

  /** Whether an intent must be durable before the first byte is sent. */
  boolean needsIntent() {
    return requestClass == RequestClass.AT_MOST_ONCE
        && !caller.request().idempotencyKey().isEmpty();
  }

  /** Milliseconds left to the deadline. */
  long left(NodeContext context) {
    return deadlineMillis - context.timers().nowMillis();
  }

  /** The final outcome of a request that no server answered. */
  RequestOutcome unsent() {
    return mayHaveRun
        ? new RequestOutcome.OutcomeUnknown(
            "no answer came from a server that may have run the request")
        : new RequestOutcome.RefusedNotRun("no server took the request", NO_SERVER_RETRY_MILLIS);
  }
}
