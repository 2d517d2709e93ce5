package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.job.ServerView;
import org.passhaven.protocol.member.MemberBeat;
import org.passhaven.protocol.member.ServerUse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges with other nodes, in heartbeats, how many generations each node runs at which server. A
 * node reports nothing while all open jobs are its own.
 */
final class ServerUseExchange {
  private static final Logger LOG = LoggerFactory.getLogger(ServerUseExchange.class);

  /** Limits the size of a heartbeat, which every node reads. */
  private static final int MAX_SERVERS_PER_HEARTBEAT = 32;

  /** Limits the servers in the reports of all nodes together within one period. */
  private static final int MAX_SERVERS_ALL_NODES = 60;

  /** Minimum time between two log lines about slow servers. */
  private static final long LOG_INTERVAL_MILLIS = 5_000;

  private static final int MAX_SERVERS_PER_LINE = 8;

  private final GatewayContext context;
  private final JobLog log;
  private final ServerView view;
  private Set<ServerIncarnation> lastLoggedSlowServers = Set.of();
  private long nextLogLineMillis;

  /** Creates the exchange and registers it with the membership agent. */
  ServerUseExchange(GatewayContext context, JobLog log, ServerView view, MembershipAgent members) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.view = Objects.requireNonNull(view, "view");
    members.shareServerUse(this::ownReport, this::onOthersHeartbeat);
  }

  private List<ServerUse> ownReport() {
    logSlow();
    boolean isShared =
        log.table().openJobs().stream()
            .anyMatch(job -> !log.owners().isOwnedHere(job.submission().run()));
    return isShared && log.ownsAnyRun()
        ? view.createReport(MAX_SERVERS_ALL_NODES, MAX_SERVERS_PER_HEARTBEAT, context.nowMillis())
        : List.of();
  }

  private void onOthersHeartbeat(MemberBeat heartbeat) {
    view.onReport(
        heartbeat.node(), heartbeat.incarnation(), heartbeat.serverUse(), context.nowMillis());
  }

  private void logSlow() {
    Set<ServerIncarnation> slow = view.slowServers();
    if (lastLoggedSlowServers.containsAll(slow) || context.nowMillis() < nextLogLineMillis) {
      return;
    }
    nextLogLineMillis = context.nowMillis() + LOG_INTERVAL_MILLIS;
    lastLoggedSlowServers = slow;
    LOG.atInfo()
        .addKeyValue("slow", slow.size())
        .addKeyValue("servers", slow.stream().sorted().limit(MAX_SERVERS_PER_LINE).toList())
        .log("job: servers generate slowly");
  }
}
