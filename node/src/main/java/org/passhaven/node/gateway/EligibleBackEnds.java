package org.passhaven.node.gateway;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.eligibility.Ineligibility;
import org.passhaven.core.eligibility.ServerEligibility;
import org.passhaven.spi.BackEndException;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests and generations only to servers that are eligible at that moment, so that no
 * sender can bypass the check. Reports and orders are passed on unchecked. Used on the node's event
 * loop.
 */
final class EligibleBackEnds implements BackEndService {
  private static final Logger LOG = LoggerFactory.getLogger(EligibleBackEnds.class);
  private final BackEndService backEnds;
  private final ServerEligibility eligibility;
  private final Function<String, ServerEntry> serverById;
  private final LongSupplier nowMillis;
  private final GatewayMetrics metrics;

  /**
   * Creates the service.
   *
   * @param serverById returns the entry of a server, or null if it is not listed
   * @param nowMillis returns the monotonic time in milliseconds
   */
  EligibleBackEnds(
      BackEndService backEnds,
      ServerEligibility eligibility,
      Function<String, ServerEntry> serverById,
      LongSupplier nowMillis,
      GatewayMetrics metrics) {
    this.backEnds = Objects.requireNonNull(backEnds, "backEnds");
    this.eligibility = Objects.requireNonNull(eligibility, "eligibility");
    this.serverById = Objects.requireNonNull(serverById, "serverById");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
  }

  @Override
  public Uni<Answer> call(Target target, Call call) {
    return checked(target, call, () -> backEnds.call(target, call));
  }

  @Override
  public Uni<Answer> callOnNewConnection(Target target, Call call) {
    return checked(target, call, () -> backEnds.callOnNewConnection(target, call));
  }

  private Uni<Answer> checked(Target target, Call call, Supplier<Uni<Answer>> send) {
    return Uni.createFrom()
        .deferred(
            () -> {
              Optional<Ineligibility> reason = admit(target, call);
              return reason.isEmpty()
                  ? send.get()
                  : Uni.createFrom()
                      .failure(
                          new PlatformException(
                              PlatformException.Kind.HELD_BACK, reason.get().text()));
            });
  }

  @Override
  public boolean isAnsweringWithoutEnd(Target target) {
    return backEnds.isAnsweringWithoutEnd(target);
  }

  @Override
  public Multi<Progress> generate(Target target, Generation generation) {
    return Multi.createFrom()
        .deferred(
            () -> {
              Optional<Ineligibility> reason = admit(target, generation.call());
              return reason.isEmpty()
                  ? backEnds.generate(target, generation)
                  : Multi.createFrom()
                      .failure(
                          new BackEndException(
                              BackEndException.Kind.HELD_BACK, reason.get().text()));
            });
  }

  /** Returns why a request must not be sent; if it may, counts it as sent. */
  private Optional<Ineligibility> admit(Target target, Call call) {
    long now = nowMillis.getAsLong();
    ServerEntry server = serverById.apply(target.instance());
    Optional<Ineligibility> reason =
        server == null
            ? Optional.of(Ineligibility.NOT_LISTED)
            : eligibility.check(server, call.restriction(), now);
    if (reason.isEmpty()) {
      eligibility.onSent(server, now);
      return reason;
    }
    metrics.onIneligible(reason.get());
    LOG.atInfo()
        .addKeyValue("request", call.id())
        .addKeyValue("server", target.instance())
        .addKeyValue("reason", reason.get())
        .log("servers: a request is not sent");
    return reason;
  }

  @Override
  public Uni<Boolean> hasEnded(Target target, long timeoutMillis) {
    return backEnds.hasEnded(target, timeoutMillis);
  }

  @Override
  public Uni<Report> report(Target target, long timeoutMillis) {
    return backEnds.report(target, timeoutMillis);
  }

  @Override
  public Uni<OrderOutcome> order(Target target, Order order, long timeoutMillis) {
    return backEnds.order(target, order, timeoutMillis);
  }
}
