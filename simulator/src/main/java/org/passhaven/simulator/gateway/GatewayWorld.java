package org.passhaven.simulator.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.passhaven.core.duty.DutyLease;
import org.passhaven.core.order.ConcurrentLoadLimit;
import org.passhaven.core.usage.UsageSettings;
import org.passhaven.node.gateway.GatewaySettings;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.simulator.gateway.SimulatedServers.Server;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;

/** A site of gateway nodes in virtual time: the same seed and faults give the same run. */
public final class GatewayWorld {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final List<String> STREAMS =
      List.of("members.0", "orders.0", "jobs.0", "jobs.1", "table/" + SimulatedDocuments.SERVERS);
  private static final int FEW_NODES = 6;

  /** Deployments of few machines put changes in force sooner than large ones. */
  private static final Duration IN_FORCE_AT_FEW = Duration.ofSeconds(2);

  private static final Duration IN_FORCE_AT_MANY = Duration.ofSeconds(3);
  private static final long LEASE_MILLIS = 3_000;
  private static final long HAND_OVER_MILLIS = LEASE_MILLIS + 1_200;
  private static final long RELEASED_MILLIS = LEASE_MILLIS + 100;
  private static final long RESTART_MILLIS = 900;
  private static final long GRACE_MILLIS = 6_000;
  private static final long SLOW_STORE = 50;
  private static final long SLOW_SERVER = 4;
  private static final double LOST_SHARE = 0.35;

  /** Time after the end of all trouble in which every job can be read at every node again. */
  private static final long READ_BACK_MILLIS = 15_000;

  private static final long IN_TOUCH_MILLIS = 3_000;

  /** A server that a request has crashed is back after some seconds. */
  private static final long CRASHED_MILLIS = 2_500;

  private static final long CLOCK_MILLIS = 5_000;
  private static final double USAGE_OFF = 0.05;
  private static final UsageSettings USAGE = new UsageSettings(5_000, 3_000, 160);
  private static final long REPEATED_MILLIS = 700;
  private static final long REPEATED_FOR_MILLIS = 30_000;

  /**
   * What came of a run.
   *
   * @param wholeSteps steps of which every item was listed in time
   * @param lookupsSent lookups of {@link #addLookups}
   * @param lookupsServed those of them that were served
   * @param serversCrashed servers that requests have crashed
   * @param windowsInTime windows of usage that were reported in time
   * @param windowsOff windows of usage whose report is off by more than a twentieth and one request
   * @param storeCalls calls of all nodes to the store by stream, those of the reading back at the
   *     end excepted
   * @param timerRuns timers that woke the nodes, those of the reading back at the end excepted
   */
  public record Report(
      List<String> violations,
      int steps,
      int wholeSteps,
      int orders,
      int handOvers,
      int lookupsSent,
      int lookupsServed,
      int serversCrashed,
      int windowsInTime,
      int windowsOff,
      Map<String, Long> storeCalls,
      long timerRuns) {}

  private final boolean isUsageReported;
  private final Duration inForce;
  private final VirtualTime time = new VirtualTime();
  private final UniformRandomProvider random;
  private final GatewayChecker checker = new GatewayChecker(LEASE_MILLIS);
  private final SimulatedStore store;
  private final SimulatedServers servers;
  private final SimulatedDuties duties;
  private final List<GatewayHost> hosts = new ArrayList<>();
  private final ServerEntries entries;
  private final SimulatedTrainer trainer;
  private final FleetLosses losses;
  private final CrashingRequests crashing;
  private final SimulatedCallers callers;
  private final ConfigurationChanges configurations;
  private int lookupPaths;
  private long configureEveryMillis;
  private long lookupsEveryMillis;
  private long storeTroubledUntil;
  private int restartSpreadMillis;

  /** Creates a world of few nodes. */
  public GatewayWorld(long seed) {
    this(seed, FEW_NODES);
  }

  /** Creates a world of so many nodes. */
  public GatewayWorld(long seed, int nodes) {
    this(seed, nodes, false);
  }

  /** Creates a world in which usage is to be reported, or is not. */
  public GatewayWorld(long seed, int nodes, boolean isUsageReported) {
    this.isUsageReported = isUsageReported;
    inForce = nodes > FEW_NODES ? IN_FORCE_AT_MANY : IN_FORCE_AT_FEW;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    store = new SimulatedStore(time, random);
    entries = new ServerEntries(time, store);
    crashing =
        new CrashingRequests(
            time,
            checker,
            server -> entries.crashByRequest(server, CRASHED_MILLIS),
            this::isInTouch,
            this::isOwed);
    duties = new SimulatedDuties(time, checker, USAGE);
    servers = new SimulatedServers(time, random, checker, ZONES, crashing);
    servers.setRunListener(duties::onBegun);
    trainer = new SimulatedTrainer(this, time, random);
    losses = new FleetLosses(time, trainer, hosts, this::killAndRestart);
    configurations = new ConfigurationChanges(this, time, inForce, this::configure);
    callers =
        new SimulatedCallers(this, time, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 17 + 3));
    for (int i = 0; i < nodes; i++) {
      hosts.add(host("n" + i, ZONES.get(i % ZONES.size())));
    }
  }

  private GatewayHost host(String name, String zone) {
    GatewaySettings settings =
        new GatewaySettings(
            name,
            zone,
            name + ":1",
            2,
            Duration.ofMillis(500),
            Duration.ofMillis(1_600),
            Duration.ofMillis(100),
            new DutyLease.Settings(1_000, HAND_OVER_MILLIS, RELEASED_MILLIS, 2_000, 400, 75_000),
            new ConcurrentLoadLimit(2, 0.3),
            inForce,
            Duration.ofSeconds(150),
            262_144,
            2_097_152,
            isUsageReported ? Optional.of(USAGE) : Optional.empty(),
            0);
    SimulatedProcess process = new SimulatedProcess(time, name, zone);
    return new GatewayHost(time, settings, process, store, servers, duties, random);
  }

  /** Bounds what all reads of the store's streams together give. */
  public void setReadBandwidth(long bytesPerMilli) {
    store.setReadBandwidth(bytesPerMilli);
  }

  /** Spreads the restarts of nodes that are lost, as machines of unlike speed do. */
  public void setRestartSpread(int millis) {
    restartSpreadMillis = millis;
  }

  /** Servers that end start again under the id that they had; set before the run is played. */
  public void restartServersInPlace() {
    entries.setRestartsInPlace();
  }

  /** The platform takes no calls of duties for a while. */
  public void loseDuties(long atMillis, long forMillis) {
    after(atMillis, () -> duties.setManner(SimulatedDuties.Manner.SILENT));
    after(atMillis + forMillis / 3, () -> duties.setManner(SimulatedDuties.Manner.LOSES_ANSWERS));
    after(atMillis + 2 * forMillis / 3, () -> duties.setManner(SimulatedDuties.Manner.REFUSES));
    after(atMillis + forMillis, () -> duties.setManner(SimulatedDuties.Manner.SOUND));
  }

  /** Callers ask for one of so many things each time. */
  public void addLookups(int paths, long everyMillis) {
    lookupPaths = paths;
    lookupsEveryMillis = everyMillis;
  }

  /** The operator changes the configuration again and again. */
  public void changeConfiguration(long everyMillis) {
    configureEveryMillis = everyMillis;
  }

  /** How often a node was checked for the configuration that had to be in force. */
  public int configurationChecks() {
    return configurations.checks();
  }

  /** When generations began at servers. */
  public List<Long> generationsBegunAtMillis() {
    return servers.begunAtMillis();
  }

  /** Plans the loss of all nodes, and records what callers are told then. */
  public FleetLosses losses() {
    return losses;
  }

  /** Plays a run. */
  public Report play(List<GatewayFault> faults, long forMillis) {
    configure(1);
    entries.start(servers.all());
    hosts.forEach(GatewayHost::start);
    after(3_000, trainer::start);
    if (configureEveryMillis > 0) {
      after(3_000, () -> configurations.start(configureEveryMillis));
    }
    if (lookupPaths > 0) {
      after(3_000, () -> callers.sendOthers(lookupPaths, lookupsEveryMillis, forMillis));
    }
    faults.forEach(fault -> after(fault.atMillis(), () -> begin(fault)));
    playUntil(forMillis);
    Map<String, Long> storeCalls = store.callsByStream();
    long timerRuns = hosts.stream().mapToLong(host -> host.process().timerRuns()).sum();
    readBack(forMillis + READ_BACK_MILLIS);
    playUntil(forMillis + READ_BACK_MILLIS);
    return new Report(
        checker.violations(),
        trainer.steps(),
        trainer.wholeSteps(),
        checker.orders(),
        checker.handOvers(),
        callers.sent(),
        callers.served(),
        crashing.crashes(),
        duties.reportedInTime(),
        duties.reportedFalsely(USAGE_OFF),
        storeCalls,
        timerRuns);
  }

  private void configure(long version) {
    store.put(
        SimulatedDocuments.OPERATOR,
        SimulatedDocuments.CONFIGURATION,
        SimulatedDocuments.version(version));
  }

  private void playUntil(long millis) {
    boolean more = true;
    while (more) {
      more = time.runNext(millis * VirtualTime.MICROS_PER_MILLI);
    }
  }

  /** Reads all accepted jobs from their beginnings at every node, and again after each failure. */
  private void readBack(long untilMillis) {
    for (GatewayHost host : hosts) {
      for (JobSubmission job : trainer.acceptedJobs()) {
        new ReadBack(time, checker, host, job.id(), untilMillis).read(0);
      }
    }
  }

  private void after(long millis, Runnable task) {
    time.after(millis * VirtualTime.MICROS_PER_MILLI, task);
  }

  private void begin(GatewayFault fault) {
    GatewayHost host = hosts.get(fault.target() % hosts.size());
    List<Server> all = servers.all();
    Server server = all.get(fault.target() % all.size());
    switch (fault.kind()) {
      case NODE_KILLED, LAST_WRITER_KILLED -> killAndRestart(host);
      case ALL_NODES_KILLED -> hosts.forEach(this::killAndRestart);
      case NODE_PAUSED -> host.pause(fault.forMillis());
      case NODE_CUT_FROM_STORE -> host.cutFromStore(fault.forMillis());
      case NODE_LEAVES -> leaveAndRestart(host);
      case STORE_REFUSES -> trouble(SimulatedStore.Manner.REFUSES, 1, fault);
      case STORE_SILENT -> trouble(SimulatedStore.Manner.SILENT, 1, fault);
      case STORE_LOSES_ANSWERS -> trouble(SimulatedStore.Manner.LOSES_ANSWERS, LOST_SHARE, fault);
      case STORE_DOES_LATE -> trouble(SimulatedStore.Manner.DOES_LATE, LOST_SHARE, fault);
      case STORE_FORGETS -> store.forgetTables();
      case STORE_PARTLY_SILENT -> silence(fault);
      case STORE_REFUSES_SOME_NODES -> refuseSomeNodes(fault);
      case STORE_SLOW -> {
        storeTroubledUntil = Math.max(storeTroubledUntil, time.nowMillis() + fault.forMillis());
        store.setSlowness(SLOW_STORE);
        after(fault.forMillis(), () -> store.setSlowness(1));
      }
      case SERVER_CRASHES -> entries.crash(server, false, fault.forMillis());
      case SERVER_DARK -> entries.crash(server, true, fault.forMillis());
      case SERVER_SLOW -> {
        server.setSlowness(SLOW_SERVER);
        after(fault.forMillis(), () -> server.setSlowness(1));
      }
      case SERVER_LEAVES -> entries.drain(server);
      case ORDERS_LATE -> {
        servers.setLateOrders(LOST_SHARE);
        after(fault.forMillis(), () -> servers.setLateOrders(0));
      }
      case SCORES_LOST -> {
        servers.setLostScores(LOST_SHARE);
        after(fault.forMillis(), () -> servers.setLostScores(0));
      }
      case LOOKUP_CRASHES_SERVERS -> {
        String path = SimulatedDocuments.LOOKUP_PATH + "crash" + fault.target();
        crashing.add(path);
        callers.repeat(path, REPEATED_MILLIS, time.nowMillis() + REPEATED_FOR_MILLIS);
      }
      case SERVERS_CRASH_UNDER_ITEM ->
          crashing.addItem(SimulatedDocuments.JOB_PATH + nextItem(), nextItem());
      case SCORE_CRASHES_SERVERS -> crashing.add(SimulatedDocuments.SCORE_PATH + nextItem());
      case NODE_SUSPENDED -> host.suspend(fault.forMillis());
      case CLOCK_SET -> {
        host.process().setTimeOfDayAhead(fault.target() % 2 == 0 ? CLOCK_MILLIS : -CLOCK_MILLIS);
        after(fault.forMillis(), () -> host.process().setTimeOfDayAhead(0));
      }
    }
  }

  private String nextItem() {
    return trainer.itemOf(trainer.steps() + 1);
  }

  /** Whether an item stands in the open job while nothing has disturbed nodes or store lately. */
  private boolean isOwed(String item) {
    long calmMillis = IN_TOUCH_MILLIS + CrashingRequests.BEGIN_AGAIN_MILLIS;
    return trainer.isOpen(item)
        && isStoreSoundFor(calmMillis)
        && hosts.stream().allMatch(host -> host.isSoundFor(calmMillis));
  }

  private boolean isInTouch(String node) {
    return hosts.stream()
        .filter(host -> host.process().name().equals(node))
        .allMatch(this::isInTouch);
  }

  /** Whether neither the node nor the store was disturbed lately. */
  boolean isInTouch(GatewayHost host) {
    return isStoreSoundFor(IN_TOUCH_MILLIS) && host.isSoundFor(IN_TOUCH_MILLIS);
  }

  private void killAndRestart(GatewayHost host) {
    if (host.gateway() != null) {
      host.kill();
      int spread = restartSpreadMillis == 0 ? 0 : random.nextInt(restartSpreadMillis);
      after(RESTART_MILLIS + spread + losses.slowerByMillis(host), () -> startIfEnded(host));
    }
  }

  private void leaveAndRestart(GatewayHost host) {
    host.leave(GRACE_MILLIS);
    after(GRACE_MILLIS + RESTART_MILLIS, () -> startIfEnded(host));
  }

  private static void startIfEnded(GatewayHost host) {
    if (host.gateway() == null) {
      host.start();
    }
  }

  private void trouble(SimulatedStore.Manner manner, double share, GatewayFault fault) {
    storeTroubledUntil = Math.max(storeTroubledUntil, time.nowMillis() + fault.forMillis());
    store.setManner(manner, share);
    after(fault.forMillis(), () -> store.setManner(SimulatedStore.Manner.SOUND, 0));
  }

  /** One stream in turn gives no answer, to nobody. */
  private void silence(GatewayFault fault) {
    storeTroubledUntil = Math.max(storeTroubledUntil, time.nowMillis() + fault.forMillis());
    String silent = STREAMS.get(fault.target() % STREAMS.size());
    store.setSilentStreams(silent::equals);
    after(fault.forMillis(), () -> store.setSilentStreams(name -> false));
  }

  /** A third of the nodes are turned away. */
  private void refuseSomeNodes(GatewayFault fault) {
    storeTroubledUntil = Math.max(storeTroubledUntil, time.nowMillis() + fault.forMillis());
    Set<String> refused = new HashSet<>();
    for (int i = fault.target(); i < fault.target() + hosts.size() / 3; i++) {
      refused.add(hosts.get(i % hosts.size()).process().name());
    }
    store.setRefusedNodes(refused::contains);
    after(fault.forMillis(), () -> store.setRefusedNodes(name -> false));
  }

  /** Names a weight version. */
  void name(long version) {
    store.put(
        SimulatedDocuments.OPERATOR,
        SimulatedDocuments.versionKey(SimulatedServers.MODEL),
        SimulatedDocuments.version(version));
  }

  GatewayChecker checker() {
    return checker;
  }

  List<GatewayHost> hosts() {
    return hosts;
  }

  boolean isStoreSoundFor(long millis) {
    return time.nowMillis() - storeTroubledUntil >= millis;
  }
}
