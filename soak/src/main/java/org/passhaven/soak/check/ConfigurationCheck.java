package org.passhaven.soak.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.passhaven.platform.standin.history.OperatorObservation.ConfigurationAcknowledged;
import org.passhaven.platform.standin.history.OperatorObservation.ConfigurationSent;
import org.passhaven.platform.standin.history.OperatorObservation.RouteSeen;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.RunBegun;

/** {@link Promise#CONFIGURATION_IN_TIME}. */
final class ConfigurationCheck {
  private static final int NOT_FOUND = 404;
  private final Evidence evidence;
  private final Tally tally;
  private final List<ConfigurationSent> sent = new ArrayList<>();
  private final Map<Long, Long> acknowledgedMillis = new HashMap<>();
  private final Map<String, RequestSent> requests = new HashMap<>();

  private ConfigurationCheck(Evidence evidence, Tally tally) {
    this.evidence = evidence;
    this.tally = tally;
    evidence.all(ConfigurationSent.class).forEach(sent::add);
    evidence
        .all(ConfigurationAcknowledged.class)
        .forEach(seen -> acknowledgedMillis.putIfAbsent(seen.version(), seen.atMillis()));
    evidence.all(RequestSent.class).forEach(request -> requests.put(request.id(), request));
  }

  static void judge(Evidence evidence, Tally tally) {
    ConfigurationCheck check = new ConfigurationCheck(evidence, tally);
    evidence.all(RunBegun.class).forEach(check::judgeRun);
    evidence
        .all(RequestAnswered.class)
        .filter(answer -> answer.status() == NOT_FOUND && answer.signature().isEmpty())
        .forEach(check::judgeMissing);
  }

  private void judgeRun(RunBegun run) {
    // Before the first one is sent nothing is known of routes.
    if (sent.isEmpty()) {
      return;
    }
    Set<String> ever = services(sent, run.host(), run.path());
    tally.check(
        ever.contains(run.service()),
        run.atMillis(),
        "",
        run.id(),
        () -> run.service() + " runs " + run.path() + ", which no configuration gives it");
    RequestSent request = requests.get(run.id());
    if (request == null || !isBound(request.node(), request.atMillis(), run.atMillis())) {
      return;
    }
    Set<String> now = services(inForce(request.atMillis(), run.atMillis()), run.host(), run.path());
    tally.check(
        now.contains(run.service()),
        run.atMillis(),
        request.node(),
        run.id(),
        () -> run.service() + " runs " + run.path() + ", which is in force for " + now);
  }

  private void judgeMissing(RequestAnswered answer) {
    RequestSent request = requests.get(answer.id());
    if (request == null || !isBound(answer.node(), answer.sentAtMillis(), answer.atMillis())) {
      return;
    }
    List<ConfigurationSent> allowed = inForce(answer.sentAtMillis(), answer.atMillis());
    boolean isEverywhere =
        !allowed.isEmpty()
            && allowed.stream()
                .allMatch(each -> route(each, request.host(), request.path()).isPresent());
    tally.check(
        !isEverywhere,
        answer.atMillis(),
        answer.node(),
        answer.id(),
        () -> "404 for " + request.path() + ", whose route is in force");
  }

  private boolean isBound(String node, long fromMillis, long untilMillis) {
    return evidence.touch().isInTouch(node, fromMillis, untilMillis);
  }

  /** The configurations that may be in force for a request: the newest that binds and later. */
  private List<ConfigurationSent> inForce(long sentMillis, long untilMillis) {
    long binding =
        sent.stream()
            .mapToLong(ConfigurationSent::version)
            .filter(
                version ->
                    acknowledgedMillis.containsKey(version)
                        && acknowledgedMillis.get(version) + evidence.bounds().configApplyMillis()
                            < sentMillis)
            .max()
            .orElse(Long.MIN_VALUE);
    return sent.stream()
        .filter(each -> each.version() >= binding && each.atMillis() <= untilMillis)
        .toList();
  }

  private static Set<String> services(
      List<ConfigurationSent> configurations, String host, String path) {
    Set<String> services = new HashSet<>();
    configurations.forEach(
        each -> route(each, host, path).ifPresent(route -> services.add(route.service())));
    return services;
  }

  private static Optional<RouteSeen> route(ConfigurationSent in, String host, String path) {
    return in.routes().stream()
        .filter(route -> route.host().equals(host) && path.startsWith(route.pathPrefix()))
        .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
  }
}
