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
 * Tells other nodes that run jobs, on this node's beats, what its generations take of the servers,
 * and takes in what they tell. A node says nothing while all open jobs are its own.
 */
final class ServerUseExchange {
  private static final Logger LOG = LoggerFactory.getLogger(ServerUseExchange.class);

  /** Servers of which one beat tells: every node reads it. */
  private static final int MAX_USES = 32;

  /** Servers of which the beats of all nodes tell in one period. */
  private static final int MAX_SHARED_USES = 60;

  private static final long BETWEEN_LINES_MILLIS = 5_000;
  private static final int MAX_NAMED = 8;
  private final GatewayContext context;
  private final JobLog log;
  private final ServerView view;
  private Set<ServerStart> slowBefore = Set.of();
  private long nextLineAt;

  /** Creates the exchange, which takes part in the beats from now on. */
  ServerUseExchange(GatewayContext context, JobLog log, ServerView view, MemberAgent members) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
    this.view = Objects.requireNonNull(view, "view");
    members.shareServerUse(this::own, this::onOthersBeat);
  }

  private List<ServerUse> own() {
    logSlow();
    boolean isShared =
        log.table().open().stream().anyMatch(job -> !log.owners().isOwn(job.submission().run()));
    return isShared && log.isRunner()
        ? view.use(MAX_SHARED_USES, MAX_USES, context.now())
        : List.of();
  }

  private void onOthersBeat(MemberBeat beat) {
    view.onTold(beat.node(), beat.incarnation(), beat.serverUse(), context.now());
  }

  private void logSlow() {
    Set<ServerStart> slow = view.slowServers();
    if (slowBefore.containsAll(slow) || context.now() < nextLineAt) {
      return;
    }
    nextLineAt = context.now() + BETWEEN_LINES_MILLIS;
    slowBefore = slow;
    LOG.atInfo()
        .addKeyValue("slow", slow.size())
        .addKeyValue("servers", slow.stream().sorted().limit(MAX_NAMED).toList())
        .log("job: servers generate slowly");
  }
}
