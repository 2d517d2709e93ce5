package org.passhaven.soak.run;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.passhaven.platform.standin.StandinPlatform;
import org.passhaven.platform.standin.history.NodeObservation.AnswerFaultsSet;
import org.passhaven.platform.standin.history.NodeObservation.LinkFaultSet;
import org.passhaven.platform.standin.history.NodeObservation.ServerHarmSet;
import org.passhaven.platform.standin.history.NodeObservation.StutterSet;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.server.AnswerFaults;
import org.passhaven.platform.standin.server.CrashingRequests;
import org.passhaven.platform.standin.server.ServerControl;
import org.passhaven.platform.standin.server.Stutter;
import org.passhaven.platform.standin.store.StoreFault;
import org.passhaven.soak.fault.Hands;
import org.passhaven.soak.plan.BackEndHarm;
import org.passhaven.soak.plan.CallerHarm;
import org.passhaven.soak.plan.Fault;
import org.passhaven.soak.plan.LinkHarm;
import org.passhaven.soak.plan.LinkKind;
import org.passhaven.soak.plan.OperatorChange;
import org.passhaven.soak.plan.RequestHarm;
import org.passhaven.soak.plan.StoreHarm;
import org.passhaven.soak.proxy.LinkProxy;
import org.passhaven.soak.proxy.LinkState;

/** Does things to the real processes, links and the stand-in. */
final class SoakHands implements Hands {
  // Longer than a node's usual call and shorter than its patience with the store.
  private static final long LINK_DELAY_MILLIS = 250;
  private static final long STORE_DELAY_MILLIS = 400;
  // The platform's page says that a call may yet be done seconds afterwards.
  private static final long DONE_LATE_MILLIS = 2_000;
  private static final double SLOW_FACTOR = 5;
  // Back ends serve somewhat longer than due after a drain.
  private static final long DRAIN_LONGER_MILLIS = 1_000;
  private static final Set<Integer> PARTITIONS_DOWN = Set.of(0, 1);

  /** Second answers to a failure that say success. */
  private static final int SUCCESS_INSTEAD_PERMILLE = 500;

  /** Whole answers with the beginning of a head behind them, while answers are harmed. */
  private static final int HEAD_LEFT_PERMILLE = 200;

  private final Nodes nodes;
  private final Links links;
  private final StandinPlatform platform;
  private final Consumer<Observation> history;
  private final Map<Integer, Double> paces = new HashMap<>();
  private final Set<Integer> slow = new HashSet<>();
  private final boolean losesByReset;
  private final AtomicReference<Future<Void>> change =
      new AtomicReference<>(Future.succeededFuture());

  SoakHands(
      SoakSettings settings,
      Nodes nodes,
      Links links,
      StandinPlatform platform,
      Consumer<Observation> history) {
    this.nodes = nodes;
    this.links = links;
    this.platform = platform;
    this.history = history;
    this.losesByReset = settings.seed() % 2 == 0;
  }

  @Override
  public void start(int node) {
    nodes.process(node).start();
  }

  @Override
  public void kill(int node) {
    nodes.process(node).kill();
  }

  @Override
  public void terminate(int node, Runnable whenGone) {
    nodes.terminate(node, whenGone);
  }

  @Override
  public void freeze(int node) {
    nodes.process(node).freeze();
  }

  @Override
  public void thaw(int node) {
    nodes.process(node).thaw();
  }

  @Override
  public void link(LinkKind link, int target, Optional<LinkHarm> harm) {
    LinkState state = harm.map(SoakHands::state).orElse(LinkState.SOUND);
    if (harm.isPresent()) {
      tell(link, target, harm.get().name());
    }
    links.each(link, target, proxy -> proxy.set(state));
    if (harm.isEmpty()) {
      tell(link, target, "");
    }
  }

  private static LinkState state(LinkHarm harm) {
    return switch (harm) {
      case DELAY -> LinkState.delayed(LINK_DELAY_MILLIS);
      case CUT_OUT -> new LinkState(0, true, false);
      case CUT_BACK -> new LinkState(0, false, true);
      case SILENCE -> new LinkState(0, true, true);
      case RESET, MUTE -> LinkState.SOUND;
    };
  }

  @Override
  public void reset(LinkKind link, int target) {
    tell(link, target, LinkHarm.RESET.name());
    links.each(link, target, LinkProxy::reset);
    tell(link, target, "");
  }

  @Override
  public void mute(LinkKind link, int target) {
    tell(link, target, LinkHarm.MUTE.name());
    links.each(link, target, LinkProxy::mute);
    tell(link, target, "");
  }

  /** A link to a back end is one of all nodes. */
  private void tell(LinkKind link, int target, String fault) {
    boolean isShared = link == LinkKind.BACK_END;
    String node = isShared ? "" : nodes.process(target).node();
    String name = isShared ? link + " " + target : link.name();
    history.accept(new LinkFaultSet(platform.nowMillis(), node, name, fault));
  }

  @Override
  public void store(int node, Optional<StoreHarm> harm) {
    StoreFault fault = harm.map(this::storeFault).orElse(new StoreFault.Up());
    if (node == ALL) {
      var unused = platform.store().setFaultForAll(fault);
    } else {
      var unused = platform.store().setFault(nodes.process(node).node(), fault);
    }
  }

  private StoreFault storeFault(StoreHarm harm) {
    return switch (harm) {
      case SLOW -> new StoreFault.Slow(STORE_DELAY_MILLIS);
      case DOWN, REFUSES_SOME -> new StoreFault.Down();
      case PARTLY_DOWN -> new StoreFault.PartitionsDown(PARTITIONS_DOWN);
      case RESETS_SOME -> new StoreFault.Reset();
      case SILENT_FOR_SOME -> new StoreFault.Silent();
      case THROTTLES_SOME -> new StoreFault.Throttled();
      case LOSES_ANSWERS -> new StoreFault.AnswersLost(losesByReset);
      case DONE_LATE -> new StoreFault.DoneLate(DONE_LATE_MILLIS);
      case FORGETS_HISTORY, DEALS_GROUPS_ANEW -> new StoreFault.Up();
    };
  }

  @Override
  public void storeOnce(StoreHarm harm) {
    if (harm == StoreHarm.FORGETS_HISTORY) {
      var unused = platform.store().forgetKeyedHistory();
    } else {
      var unused = platform.store().dealGroupsAnew();
    }
  }

  @Override
  public void pace(int backEnd, double factor) {
    paces.put(backEnd, factor);
    applyPace(backEnd);
  }

  /** If a back end is slow and uneven at once, the larger factor applies. */
  private void applyPace(int backEnd) {
    double slowness = slow.contains(backEnd) ? SLOW_FACTOR : 1;
    server(backEnd).slow(Math.max(slowness, paces.getOrDefault(backEnd, 1.0)));
  }

  @Override
  public void harmCallers(CallerHarm harm, long forMillis) {
    switch (harm) {
      case SLOW_READERS -> platform.clients().readSlowly();
      case TENANT_FLOOD -> platform.clients().flood(forMillis);
    }
  }

  private void tellServer(int backEnd, String fault) {
    history.accept(new ServerHarmSet(platform.nowMillis(), "", backEnd, fault));
  }

  @Override
  public void harmBackEnd(int backEnd, BackEndHarm harm, long forMillis) {
    tellServer(backEnd, harm.name());
    ServerControl server = server(backEnd);
    switch (harm) {
      case CRASH -> server.crash(forMillis);
      case HANG -> server.hang(true);
      case ENDLESS -> server.answerWithoutEnd(true);
      case SLOW -> {
        slow.add(backEnd);
        applyPace(backEnd);
      }
    }
  }

  @Override
  public void crash(int backEnd, long forMillis, boolean isReset) {
    tellServer(backEnd, BackEndHarm.CRASH.name());
    ServerControl server = server(backEnd);
    var unused = isReset ? server.crash(forMillis) : server.kill(forMillis);
    tellServer(backEnd, "");
  }

  @Override
  public void healBackEnd(int backEnd, BackEndHarm harm) {
    switch (harm) {
      case CRASH -> server(backEnd).start();
      case HANG -> server(backEnd).hang(false);
      case ENDLESS -> server(backEnd).answerWithoutEnd(false);
      case SLOW -> {
        slow.remove(backEnd);
        applyPace(backEnd);
      }
    }
    tellServer(backEnd, "");
  }

  @Override
  public void harmRequest(RequestHarm harm) {
    platform
        .crashing()
        .arm(
            switch (harm) {
              case LOOKUP_CRASHES -> CrashingRequests.Target.LOOKUP;
              case ITEM_CRASHES -> CrashingRequests.Target.ITEM;
              case SCORE_CRASHES -> CrashingRequests.Target.SCORE;
            });
  }

  @Override
  public void suspend(int node) {
    nodes.process(node).suspend();
  }

  @Override
  public void evacuate(int zone) {
    var unused = platform.operator().evacuate(zone(zone));
  }

  @Override
  public void endEvacuation(int zone) {
    String name = zone(zone);
    var unused =
        platform.turnCold(name).onComplete(ignored -> platform.operator().endEvacuation(name));
  }

  @Override
  public void stutter(Fault.SecondAnswers fault) {
    setStutter(
        new Stutter(
            fault.secondPermille(),
            SUCCESS_INSTEAD_PERMILLE,
            fault.failPermille(),
            fault.refusePermille()));
  }

  @Override
  public void endStutter() {
    setStutter(Stutter.NONE);
  }

  private void setStutter(Stutter stutter) {
    history.accept(new StutterSet(platform.nowMillis(), "", !stutter.equals(Stutter.NONE)));
    platform.servers().forEach(server -> server.stutter(stutter));
  }

  @Override
  public void harmAnswers(Fault.BrokenAnswers fault) {
    setAnswerFaults(
        new AnswerFaults(fault.brokenPermille(), fault.oddPermille(), HEAD_LEFT_PERMILLE));
  }

  @Override
  public void endAnswerHarm() {
    setAnswerFaults(AnswerFaults.NONE);
  }

  private void setAnswerFaults(AnswerFaults faults) {
    boolean isHarming = !faults.equals(AnswerFaults.NONE);
    history.accept(new AnswerFaultsSet(platform.nowMillis(), "", isHarming));
    platform.servers().forEach(server -> server.harmAnswers(faults));
  }

  private String zone(int index) {
    List<String> zones = platform.zones();
    return zones.get(index % zones.size());
  }

  @Override
  public void change(OperatorChange kind, int backEnd) {
    if (kind == OperatorChange.DRAIN) {
      server(backEnd).drain(backEnd % 2 == 0, DRAIN_LONGER_MILLIS);
    } else if (change.get().isComplete()) {
      change.set(platform.changeConfiguration());
    }
  }

  private ServerControl server(int backEnd) {
    List<ServerControl> servers = platform.servers();
    return servers.get(backEnd % servers.size());
  }
}
