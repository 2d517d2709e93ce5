package org.passhaven.simulator.world;

import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.passhaven.emulator.site.Site;
import org.passhaven.node.NodeSettings;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.simulator.network.NetworkSettings;

/**
 * A simulated site.
 *
 * @param steps training steps of each trainer
 * @param configuration documents that are applied first
 * @param nodeSettings changes the defaults of each node
 * @param configurationPeriodMillis time between applications of operators; 0 for none
 */
public record WorldSettings(
    Site site,
    NetworkSettings network,
    long seed,
    int steps,
    List<ConfigurationDocument> configuration,
    UnaryOperator<NodeSettings> nodeSettings,
    long configurationPeriodMillis) {
  public WorldSettings {
    Objects.requireNonNull(site, "site");
    Objects.requireNonNull(network, "network");
    configuration = List.copyOf(configuration);
    Objects.requireNonNull(nodeSettings, "nodeSettings");
  }
}
