package org.passhaven.simulator.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.route.RequestLimits;
import org.passhaven.core.route.Route;
import org.passhaven.core.route.RouteTable;
import org.passhaven.core.route.ServiceShare;
import org.passhaven.core.tenant.TenantTable;
import org.passhaven.node.gateway.PlatformDocuments;
import org.passhaven.protocol.Codec;

/** Documents of the simulated platform: one configuration, its version as text. */
final class SimulatedDocuments implements PlatformDocuments {
  static final String OPERATOR = "operator";
  static final String SERVERS = "servers";
  static final String CRASHES = "crashes";
  static final String CONFIGURATION = "configuration";
  static final String HOST = "host";
  static final String JOB_PATH = "/jobs/";
  static final String SCORE_PATH = "/scores/";
  static final String TRAINER = "trainer";
  static final String LOOKUP_PATH = "/lookups/";
  private static final String VERSION_PREFIX = "version/";
  private static final long GIVE_UP_MILLIS = 200_000;
  private static final int MOST_ATTEMPTS = 4;

  static byte[] version(long number) {
    return Long.toString(number).getBytes(StandardCharsets.UTF_8);
  }

  static String versionKey(String model) {
    return VERSION_PREFIX + model;
  }

  @Override
  public String operatorTable() {
    return OPERATOR;
  }

  @Override
  public String crashTable() {
    return CRASHES;
  }

  @Override
  public String serverTable() {
    return SERVERS;
  }

  @Override
  public boolean isConfiguration(String key) {
    return key.equals(CONFIGURATION);
  }

  @Override
  public RouteTable parseConfiguration(byte[] document) {
    return new RouteTable(
        number(document),
        List.of(
            route("jobs", JOB_PATH, "llm", Route.Kind.JOBS),
            route("scores", SCORE_PATH, "portal", Route.Kind.REPEATABLE),
            route("lookups", LOOKUP_PATH, "portal", Route.Kind.REPEATABLE)),
        RequestLimits.DEFAULT,
        TenantTable.NONE);
  }

  private static Route route(String name, String prefix, String service, Route.Kind kind) {
    return new Route(
        name,
        HOST,
        prefix,
        List.of(new ServiceShare(service, 1)),
        kind,
        1_500,
        200,
        MOST_ATTEMPTS,
        false,
        false,
        0,
        GIVE_UP_MILLIS,
        true);
  }

  private static long number(byte[] document) {
    return Long.parseLong(new String(document, StandardCharsets.UTF_8));
  }

  @Override
  public Map<String, Long> parseAnnouncedVersions(String key, byte[] document) {
    return key.startsWith(VERSION_PREFIX)
        ? Map.of(key.substring(VERSION_PREFIX.length()), number(document))
        : Map.of();
  }

  @Override
  public ServerEntry parseServer(String key, byte[] document) {
    return Codec.decode(document, ServerEntry.class);
  }
}
