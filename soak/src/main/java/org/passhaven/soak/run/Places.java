package org.passhaven.soak.run;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.proxy.BandwidthMeter;

/** Where the nodes of a run listen, and the links to them and from them to the store. */
final class Places {
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private final SoakSettings settings;
  private final Links links;

  Places(SoakSettings settings, Links links) {
    this.settings = settings;
    this.links = links;
  }

  /** Places of all nodes, in the zones in turn, each reached through its callers' links. */
  List<NodePlace> list() {
    List<String> names =
        IntStream.range(0, settings.nodeCount()).mapToObj(i -> "node-" + i).toList();
    List<NodePlace> direct = NodePlace.listOnFreePorts(names, ZONES.get(0));
    List<NodePlace> places = new ArrayList<>();
    for (int i = 0; i < direct.size(); i++) {
      NodePlace place = direct.get(i);
      places.add(
          new NodePlace(
              place.name(),
              ZONES.get(i % ZONES.size()),
              place.front(),
              place.ready(),
              place.registry(),
              place.controlPlane(),
              callers(i, place.front()),
              callers(i, place.registry())));
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
