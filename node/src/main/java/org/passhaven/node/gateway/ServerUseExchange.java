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
 * Reports this node's generations at servers to other nodes that run jobs, in its beats, and takes
 * in their reports. A node reports nothing while all open jobs are its own.
 */
final class ServerUseExchange {
  private static final Logger LOG = LoggerFactory.getLogger(ServerUseExchange.class);

  /** Most servers in the report of one beat, which every node reads. */
  private static final int MAX_SERVERS_PER_BEAT = 32;

  /** Most servers in the reports of all nodes in one period. */
  private static final int MAX_SERVERS_OF_ALL = 60;

  /** Shortest time between two log lines about slow servers. */
  private static final long BETWEEN_LINES_MILLIS = 5_000;

  /** Most servers that one log line names. */
  private static final int MAX_NAMED = 8;

  private final GatewayContext context;
  private final JobLog log;
  private final ServerView view;
  private Set<ServerStart> slowBefore = Set.of();
  private long nextLineAtMillis;

  /** Creates the exchange, which takes part in the beats from now on. */
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
