package org.passhaven.soak.run;

import java.util.ArrayList;
import java.util.List;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.proxy.BandwidthMeter;

/** Where the nodes of a run listen, and the links to them and from them to the store. */
final class Places {
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final String HOST = "127.0.0.1";

  /** Ports of a node: for requests, readiness, addresses, and one of its own. */
  static final int PORTS_PER_NODE = 4;

  private final SoakSettings settings;
  private final Links links;

  Places(SoakSettings settings, Links links) {
    this.settings = settings;
    this.links = links;
  }

  /** Places of all nodes, in the zones in turn, each reached through its callers' links. */
  List<NodePlace> list(List<Integer> ports) {
    List<NodePlace> places = new ArrayList<>();
    for (int i = 0; i < settings.nodeCount(); i++) {
      List<String> own =
          ports.subList(i * PORTS_PER_NODE, (i + 1) * PORTS_PER_NODE).stream()
              .map(port -> HOST + ":" + port)
              .toList();
      places.add(
          new NodePlace(
              "node-" + i,
              ZONES.get(i % ZONES.size()),
              own.get(0),
              own.get(1),
              own.get(2),
              own.get(3),
              callers(i, own.get(0)),
              callers(i, own.get(2))));
    }
    return places;
  }

  private String callers(int index, String target) {
    return links.open(
        LinkKind.CALLERS, index, target, BandwidthMeter.unlimited(), BandwidthMeter.unlimited());
  }

  /** Address through which a node reaches its door at the store. */
  String storeVia(int index, String storeAddress) {
    return links.open(LinkKind.STORE, index, storeAddress, storeMeter(), storeMeter());
  }

  private BandwidthMeter storeMeter() {
    double megabits = settings.load().storeLinkMegabits();
    return megabits > 0 ? BandwidthMeter.ofMegabits(megabits) : BandwidthMeter.unlimited();
  }
}
