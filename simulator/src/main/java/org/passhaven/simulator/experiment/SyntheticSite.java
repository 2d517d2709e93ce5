package org.passhaven.simulator.experiment;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.core.configuration.ConfigurationException;
import org.passhaven.core.configuration.ConfigurationParser;
import org.passhaven.emulator.model.EngineSettings;
import org.passhaven.emulator.site.Site;
import org.passhaven.protocol.ConfigurationDocument;

/**
 * A site of any size for measurements.
 *
 * @param zones number of zones
 * @param nodesPerZone nodes in each zone
 * @param engines engines, all of one group for each trainer
 * @param trainers trainers, each with its model
 * @param shards shards of each trainer
 * @param promptsPerStep prompts of a step
 * @param samplesPerPrompt samples of a prompt
 * @param trainMillis time of a training step
 * @param callerPeriodMillis time between two requests of a zone's caller; 0 for no callers
 * @param oncePercent share of requests that must not run twice
 * @param extraDocuments further documents in the configuration
 */
public record SyntheticSite(
    int zones,
    int nodesPerZone,
    int engines,
    int trainers,
    int shards,
    int promptsPerStep,
    int samplesPerPrompt,
    long trainMillis,
    long callerPeriodMillis,
    int oncePercent,
    int extraDocuments) {
  private static final EngineSettings ENGINE =
      new EngineSettings(32, 250, 8, 512, 400, 40_000, 500, 500);
  private static final long ZONE_MICROS = 1_000;
  private static final long CLIENT_MICROS = 2_000;
  private static final String SERVICE_DOCUMENT =
      """
      kind: service
      name: service
      serverGroup: servers
      deadlineMillis: 3000
      routes:
        - {path: /once/, requestClass: at_most_once}
      """;
  private static final int SERVERS = 6;
  private static final int REPEAT_PERCENT = 10;
  private static final int BOUND = 2;

  /** One zone, one node, nothing to do. */
  public static final SyntheticSite EMPTY = new SyntheticSite(1, 1, 1, 0, 1, 1, 1, 0, 0, 0, 0);

  /** The site. */
  public Site site() {
    List<String> zoneNames = new ArrayList<>();
    for (int zone = 0; zone < zones; zone++) {
      zoneNames.add("zone-" + zone);
    }
    List<Site.EngineGroup> groups = new ArrayList<>();
    List<Site.TrainerLoad> loads = new ArrayList<>();
    for (int trainer = 0; trainer < trainers; trainer++) {
      groups.add(
          new Site.EngineGroup(
              "engines-" + trainer, "model-" + trainer, Math.max(1, engines / trainers)));
      loads.add(
          new Site.TrainerLoad(
              "trainer-" + trainer, promptsPerStep, samplesPerPrompt, trainMillis, BOUND, 1));
    }
    List<Site.CallerLoad> callers =
        callerPeriodMillis == 0
            ? List.of()
            : List.of(
                new Site.CallerLoad("service", callerPeriodMillis, oncePercent, REPEAT_PERCENT));
    return new Site(
        "synthetic",
        zoneNames,
        ZONE_MICROS,
        CLIENT_MICROS,
        nodesPerZone,
        100,
        1_000,
        ENGINE,
        groups,
        List.of(new Site.ServiceGroup("servers", SERVERS, 3)),
        loads,
        callers);
  }

  /** The configuration that goes with it. */
  public List<ConfigurationDocument> configuration() throws ConfigurationException {
    StringBuilder yaml = new StringBuilder(SERVICE_DOCUMENT);
    for (int trainer = 0; trainer < trainers; trainer++) {
      yaml.append("---\nkind: model\nname: model-")
          .append(trainer)
          .append("\nengineGroup: engines-")
          .append(trainer)
          .append("\n---\nkind: trainer\nname: trainer-")
          .append(trainer)
          .append("\nmodel: model-")
          .append(trainer)
          .append("\nstalenessBound: ")
          .append(BOUND)
          .append("\nshards: ")
          .append(shards)
          .append('\n');
    }
    for (int document = 0; document < extraDocuments; document++) {
      yaml.append("---\nkind: caller\nname: caller-")
          .append(document)
          .append("\nrequestsPerSecond: 10\nburst: 10\n");
    }
    return new ConfigurationParser()
        .parse(List.of(new ConfigurationParser.SourceFile("synthetic", yaml.toString())));
  }
}
