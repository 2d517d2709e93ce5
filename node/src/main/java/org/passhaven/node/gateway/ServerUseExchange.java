package org.passhaven.node.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.passhaven.core.backend.ServerStart;
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
  private static final int MAX_SERVERS_PER_BEAT = 32;

  /** Limits the servers in the reports of all nodes together within one period. */
  private static final int MAX_SERVERS_OF_ALL = 60;

  /** Minimum time between two log lines about slow servers. */
  private static final long BETWEEN_LINES_MILLIS = 5_000;

  private static final int MAX_NAMED = 8;

  private final GatewayContext context;
  private final JobLog log;
  private final ServerView view;
  private Set<ServerStart> slowBefore = Set.of();
  private long nextLineAtMillis;

  /** Creates the exchange and registers it with the membership agent. */
  ServerUseExchange(GatewayContext context, JobLog log, ServerView view, MemberAgent members) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.view = Objects.requireNonNull(view, "view");
    members.shareServerUse(this::ownReport, this::onOthersBeat);
  }

  private List<ServerUse> ownReport() {
    logSlow();
    boolean isShared =
        log.table().open().stream().anyMatch(job -> !log.owners().isOwn(job.submission().run()));
    return isShared && log.isRunner()
        ? view.use(MAX_SERVERS_OF_ALL, MAX_SERVERS_PER_BEAT, context.now())
        : List.of();
  }

  private void onOthersBeat(MemberBeat beat) {
    view.onReport(beat.node(), beat.incarnation(), beat.serverUse(), context.now());
  }

  private void logSlow() {
    Set<ServerStart> slow = view.slowServers();
    if (slowBefore.containsAll(slow) || context.now() < nextLineAtMillis) {
      return;
    }
    nextLineAtMillis = context.now() + BETWEEN_LINES_MILLIS;
    slowBefore = slow;
    LOG.atInfo()
        .addKeyValue("slow", slow.size())
        .addKeyValue("servers", slow.stream().sorted().limit(MAX_NAMED).toList())
        .log("job: servers generate slowly");
  }
}
