package org.passhaven.node.gateway;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.topology.Topology;
import org.passhaven.spi.BackEndService;
import org.passhaven.spi.TableService;

/** Settings and non-answering services for tests of a gateway node. */
final class GatewayFixture {
  private GatewayFixture() {}

  /** Returns settings of node {@code n} in zone {@code z}. */
  static GatewaySettings settings(int jobPartitions, int maxRecordBytes, int maxAppendBytes) {
    return settings("n", jobPartitions, maxRecordBytes, maxAppendBytes);
  }

  /** Returns settings of a node in zone {@code z}. */
  static GatewaySettings settings(
      String node, int jobPartitions, int maxRecordBytes, int maxAppendBytes) {
    return new GatewaySettings(
        node,
        "z",
        "n:1",
        jobPartitions,
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        Duration.ofMillis(100),
        new DutyLease.Settings(1_000, 3_000, 3_000, 2_000, 400, 75_000),
        new ConcurrentLoadLimit(2, 0.3),
        Duration.ofSeconds(2),
        Duration.ofSeconds(150),
        maxRecordBytes,
        maxAppendBytes,
        Optional.empty(),
        0);
  }

  /** Returns settings of node {@code n} in the own zone of a topology. */
  static GatewaySettings settings(Topology topology) {
    GatewaySettings base = settings("n", 1, 262_144, 2_097_152);
    return new GatewaySettings(
        base.node(),
        topology.zone(),
        base.address(),
        base.jobPartitions(),
        base.heartbeatInterval(),
        base.heartbeatTimeout(),
        base.decisionInterval(),
        base.lease(),
        base.loadLimit(),
        base.propagationLimit(),
        base.jobRetention(),
        base.maxRecordBytes(),
        base.maxAppendBytes(),
        base.usage(),
        base.cores(),
        topology,
        0,
        false);
  }

  /** Table service that never answers. */
  static class SilentTables implements TableService {
    @Override
    public Uni<Page> list(String table, String afterKey) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Changes> changes(String table, long from, long waitMillis) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Void> put(String table, List<Entry> entries) {
      return Uni.createFrom().nothing();
    }
  }

  /** Servers that never answer. */
  static class SilentServers implements BackEndService {
    @Override
    public Uni<Answer> call(Target target, Call call) {
      return Uni.createFrom().nothing();
    }

    @Override
    public boolean isAnsweringWithoutEnd(Target target) {
      return false;
    }

    @Override
    public Multi<Progress> generate(Target target, Generation generation) {
      return Multi.createFrom().nothing();
    }

    @Override
    public Uni<Boolean> hasEnded(Target target, long limitMillis) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<Report> report(Target target, long limitMillis) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<OrderOutcome> order(Target target, Order order, long limitMillis) {
      return Uni.createFrom().nothing();
    }
  }

  /** Documents without any configuration or server; server entries can't be decoded. */
  static class EmptyDocuments implements PlatformDocuments {
    @Override
    public String operatorTable() {
      return "operator";
    }

    @Override
    public String crashTable() {
      return "crashes";
    }

    @Override
    public String serverTable() {
      return "servers";
    }

    @Override
    public boolean isConfiguration(String key) {
      return false;
    }

    @Override
    public RouteTable parseConfiguration(byte[] document) {
      return RouteTable.EMPTY;
    }

    @Override
    public Map<String, Long> parseAnnouncedVersions(String key, byte[] document) {
      return Map.of();
    }

    @Override
    public ServerEntry parseServer(String key, byte[] document) {
      throw new DocumentException("none", null);
    }
  }
}
