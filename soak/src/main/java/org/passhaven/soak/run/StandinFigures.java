package org.passhaven.soak.run;

import java.util.List;
import org.passhaven.platform.standin.NodeBounds;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.platform.standin.StandinSettings;
import org.passhaven.platform.standin.client.CallerSettings;
import org.passhaven.platform.standin.client.TrainerSettings;
import org.passhaven.platform.standin.server.ColdStart;
import org.passhaven.platform.standin.server.ServerSettings;
import org.passhaven.platform.standin.store.StoreSettings;
import org.passhaven.soak.plan.Addition;
import org.passhaven.soak.plan.CrashWavePlan;

/** The stand-in's settings for a run. */
final class StandinFigures {
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long APPEND_MILLIS = 4;
  private static final int PLAIN_SERVICES = 3;
  private static final long WATCH_MILLIS = 100;
  // finishS of the example on the platform's page on deployment, after the last step's due time.
  private static final long FINISH_MILLIS = 10_000;
  // A read of a node that is behind waits for its history; a node's share grows with their number.
  private static final long READ_BACK_MILLIS = 60_000;
  private static final long READ_BACK_PER_NODE_MILLIS = 2_000;

  /** Far less than a server gets when it is warm. */
  private static final ColdStart COLD_START = new ColdStart(5_000, 2);

  /**
   * Load of a run with crash waves: the servers and steps of the site sheet that the waves come
   * from, with events so slow that a text lasts over two waves.
   */
  private static final class CrashWaveLoad {
    static final int GROUPS = 18;
    static final int ITEMS_A_GROUP = 4;
    static final int DESIRED_GROUPS = 16;
    static final long STEP_MILLIS = 12_000;
    static final long EVENT_MILLIS = 200;
  }

  // Beside answers that are broken off a third of the callers keep their connections.
  private static final int KEEPING_PERCENT = 34;
  private static final int LEAVING_PERCENT = 15;

  private StandinFigures() {}

  static StandinSettings of(SoakSettings settings, List<NodePlace> places) {
    SoakLoad load = settings.load();
    StoreSettings store =
        StoreSettings.usual()
            .withAge(load.storeAgeSeconds() * MILLIS_PER_SECOND)
            .withSpeeds(APPEND_MILLIS, load.storeReadMegabytes() * BYTES_PER_MEGABYTE);
    return StandinSettings.small(settings.seed(), places)
        .withStore(store, NodeBounds.usual().withStatusSeconds(load.statusSeconds()))
        .withServers(engines(settings), ServerSettings.plain())
        .withColdStart(settings.has(Addition.EVACUATIONS) ? COLD_START : ColdStart.NEVER)
        .withClients(trainers(settings), callers(settings), WATCH_MILLIS);
  }

  private static CallerSettings callers(SoakSettings settings) {
    CallerSettings usual = CallerSettings.few().withCallers(settings.load().callers());
    return settings.has(Addition.BROKEN_ANSWERS)
        ? usual.withHabits(KEEPING_PERCENT, LEAVING_PERCENT)
        : usual;
  }

  private static ServerSettings engines(SoakSettings settings) {
    ServerSettings usual =
        ServerSettings.engines().withCharacters(settings.load().eventCharacters());
    return settings.has(Addition.CRASH_WAVES)
        ? usual
            .withServers(CrashWavePlan.MODEL_SERVERS)
            .withWork(CrashWaveLoad.EVENT_MILLIS, usual.loadMillis())
        : usual;
  }

  private static TrainerSettings trainers(SoakSettings settings) {
    SoakLoad load = settings.load();
    TrainerSettings usual =
        TrainerSettings.small().withTrainers(load.trainers()).withAhead(load.ahead());
    if (settings.has(Addition.CRASH_WAVES)) {
      return usual
          .withSizes(
              CrashWaveLoad.GROUPS,
              CrashWaveLoad.ITEMS_A_GROUP,
              CrashWaveLoad.DESIRED_GROUPS,
              load.bodyBytes())
          .withTimes(CrashWaveLoad.STEP_MILLIS, usual.giveUpMillis(), usual.pauseMillis());
    }
    return usual.withSizes(
        load.groups(), load.itemsAGroup(), Math.max(1, load.groups() * 2 / 3), load.bodyBytes());
  }

  static int backEndCount(StandinSettings standin) {
    return standin.trainers().trainers() * standin.engines().servers()
        + PLAIN_SERVICES * standin.plain().servers();
  }

  /** How long the last steps may take. */
  static long finishMillis() {
    return FINISH_MILLIS + TrainerSettings.small().dueMillis();
  }

  /** How long reading back may take. */
  static long readBackMillis(SoakSettings settings) {
    return READ_BACK_MILLIS + settings.nodeCount() * READ_BACK_PER_NODE_MILLIS;
  }
}
