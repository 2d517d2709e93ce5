package org.passhaven.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.passhaven.protocol.MemberState;
import org.passhaven.protocol.MemberState.Status;
import org.passhaven.protocol.NodeId;

/**
 * One node's view of the membership of all nodes, maintained by gossip. In each period a heartbeat
 * is sent to one member, the next in a shuffled round, so that the cost for a node does not grow
 * with the fleet. Updates about other members are piggybacked on heartbeats, each a number of times
 * that grows with the logarithm of the fleet size. A silent member is suspected first and may
 * refute this with a higher heartbeat before it counts as dead, so that a paused process rejoins by
 * itself. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class MembershipTable {
  /**
   * An update is sent this many times the number of binary digits of the number of members, which
   * grows with its logarithm.
   */
  private static final int DISSEMINATION_FACTOR = 3;

  /** Time after which a dead member is removed. */
  private static final long DEAD_EXPIRY_MILLIS = 120_000;

  private final MembershipSettings settings;
  private final Map<NodeId, MemberEntry> members = new TreeMap<>();
  private final Map<NodeId, Integer> updateSendCounts = new LinkedHashMap<>();
  private final java.util.function.IntUnaryOperator randomBelow;
  private List<NodeId> round = List.of();
  private int nextInRound;
  private MemberState self;

  /**
   * Creates a table that knows only its own node.
   *
   * @param randomBelow returns a random number from zero (inclusive) to its argument (exclusive)
   */
  public MembershipTable(
      MemberState self,
      MembershipSettings settings,
      java.util.function.IntUnaryOperator randomBelow) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** Returns this node's state, as sent with each message. */
  public MemberState self() {
    return self;
  }

  /** Sets the revision of the configuration in force at this node. */
  public void setRevision(long revision) {
    self =
        new MemberState(
            self.node(),
            self.address(),
            self.zone(),
            self.incarnation(),
            self.heartbeat(),
            self.status(),
            revision);
  }

  /** Marks this node as leaving because a planned shutdown begins. */
  public void markLeaving() {
    self = withHeartbeat(self, self.heartbeat() + 1).withStatus(Status.LEAVING);
  }

  /**
   * Adds a node named by the platform's list or the settings; its own messages replace this entry.
   */
  public void addSeed(NodeId node, String address, String zone, long nowMillis) {
    if (!node.equals(self.node()) && !members.containsKey(node)) {
      MemberState state = new MemberState(node, address, zone, 0, 0, Status.ALIVE, 0);
      members.put(node, new MemberEntry(state, nowMillis));
    }
  }

  /** Suspects a node that the platform's list no longer names. */
  public void onUnlisted(NodeId node, long nowMillis) {
    MemberEntry entry = members.get(node);
    if (entry != null && entry.state.status() == Status.ALIVE) {
      changeState(entry, entry.state.withStatus(Status.SUSPECT), nowMillis);
    }
  }

  /** Applies the states in a message. */
  public void onMessage(MemberState sender, Collection<MemberState> updates, long nowMillis) {
    merge(sender, nowMillis);
    updates.forEach(state -> merge(state, nowMillis));
  }

  private void merge(MemberState received, long nowMillis) {
    if (received.node().equals(self.node())) {
      refute(received);
      return;
    }
    MemberEntry known = members.get(received.node());
    if (known == null) {
      if (received.status() != Status.DEAD) {
        members.put(received.node(), new MemberEntry(received, nowMillis));
        updateSendCounts.put(received.node(), 0);
      }
      return;
    }
    if (!isNewer(received, known.state)) {
      return;
    }
    boolean isUpdate =
        received.status() != known.state.status()
            || received.incarnation() != known.state.incarnation();
    known.state = received;
    known.changedAtMillis = nowMillis;
    if (isUpdate) {
      updateSendCounts.put(received.node(), 0);
    }
  }

  /**
   * If the received state declares this node suspected or dead, refutes it with a higher heartbeat.
   */
  private void refute(MemberState received) {
    boolean isDeclaredGone =
        received.status() == Status.SUSPECT || received.status() == Status.DEAD;
    if (received.incarnation() == self.incarnation()
        && received.heartbeat() >= self.heartbeat()
        && isDeclaredGone) {
      self = withHeartbeat(self, received.heartbeat() + 1);
      updateSendCounts.put(self.node(), 0);
    }
  }

  private static boolean isNewer(MemberState received, MemberState known) {
    if (received.incarnation() != known.incarnation()) {
      return received.incarnation() > known.incarnation();
    }
    if (received.heartbeat() != known.heartbeat()) {
      return received.heartbeat() > known.heartbeat();
    }
    return received.status().compareTo(known.status()) > 0
        || received.revision() > known.revision();
  }

  /**
   * Ends a period: increments this node's heartbeat and declares dead the suspects whose time is
   * over.
   */
  public void onPeriod(long nowMillis) {
    self = withHeartbeat(self, self.heartbeat() + 1);
    for (MemberEntry entry : List.copyOf(members.values())) {
      long silentMillis = nowMillis - entry.changedAtMillis;
      if (entry.state.status() == Status.SUSPECT
          && silentMillis >= settings.deadAfter().toMillis()) {
        changeState(entry, entry.state.withStatus(Status.DEAD), nowMillis);
      } else if (entry.state.status() == Status.DEAD && silentMillis >= DEAD_EXPIRY_MILLIS) {
        members.remove(entry.state.node());
      }
    }
  }

  /**
   * Returns the next member to send a heartbeat to. Dead members are included, so that members
   * rejoin after a healed network partition.
   */
  public Optional<MemberState> nextTarget() {
    for (int attempts = 0; attempts <= members.size(); attempts++) {
      if (nextInRound >= round.size()) {
        startRound();
      }
      if (round.isEmpty()) {
        return Optional.empty();
      }
      MemberEntry entry = members.get(round.get(nextInRound++));
      if (entry != null) {
        return Optional.of(entry.state);
      }
    }
    return Optional.empty();
  }

  /** Returns a member to ask for an indirect probe of {@code target}. */
  public Optional<MemberState> indirectProbeHelper(NodeId target) {
    List<MemberState> helpers =
        alive().stream()
            .filter(state -> !state.node().equals(target) && !state.node().equals(self.node()))
            .toList();
    return helpers.isEmpty()
        ? Optional.empty()
        : Optional.of(helpers.get(randomBelow.applyAsInt(helpers.size())));
  }

  private void startRound() {
    List<NodeId> shuffled = new ArrayList<>(members.keySet());
    for (int i = shuffled.size() - 1; i > 0; i--) {
      java.util.Collections.swap(shuffled, i, randomBelow.applyAsInt(i + 1));
    }
    round = shuffled;
    nextInRound = 0;
  }

  /** Suspects a node that neither this node nor a helper could reach. */
  public void onUnreachable(NodeId node, long nowMillis) {
    MemberEntry entry = members.get(node);
    if (entry != null && entry.state.status() == Status.ALIVE) {
      changeState(entry, entry.state.withStatus(Status.SUSPECT), nowMillis);
    }
  }

  /**
   * Returns the updates for the next message, the least often sent first, and counts them as sent.
   */
  public List<MemberState> takeUpdates() {
    int sends =
        DISSEMINATION_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
    List<NodeId> chosen =
        updateSendCounts.entrySet().stream()
            .sorted(
                Map.Entry.<NodeId, Integer>comparingByValue()
                    .thenComparing(Map.Entry.comparingByKey()))
            .limit(settings.maxUpdatesPerMessage())
            .map(Map.Entry::getKey)
            .toList();
    List<MemberState> updates = new ArrayList<>();
    for (NodeId node : chosen) {
      MemberEntry entry = members.get(node);
      if (node.equals(self.node())) {
        updates.add(self);
      } else if (entry != null) {
        updates.add(entry.state);
      }
      if (updateSendCounts.merge(node, 1, Integer::sum) >= sends
          || (entry == null && !node.equals(self.node()))) {
        updateSendCounts.remove(node);
      }
    }
    return updates;
  }

  /**
   * Returns this node and all others that accept new work, sorted by name; suspected ones are
   * included.
   */
  public List<MemberState> alive() {
    Map<NodeId, MemberState> alive = new HashMap<>();
    members.values().stream()
        .map(entry -> entry.state)
        .filter(state -> state.status() == Status.ALIVE || state.status() == Status.SUSPECT)
        .forEach(state -> alive.put(state.node(), state));
    if (self.status() == Status.ALIVE) {
      alive.put(self.node(), self);
    }
    return alive.values().stream().sorted(Comparator.comparing(MemberState::node)).toList();
  }

  /** Returns the states of all other members. */
  public List<MemberState> others() {
    return members.values().stream().map(entry -> entry.state).toList();
  }

  private void changeState(MemberEntry entry, MemberState state, long nowMillis) {
    entry.state = state;
    entry.changedAtMillis = nowMillis;
    updateSendCounts.put(state.node(), 0);
  }

  private static MemberState withHeartbeat(MemberState state, long heartbeat) {
    return new MemberState(
        state.node(),
        state.address(),
        state.zone(),
        state.incarnation(),
        heartbeat,
        state.status(),
        state.revision());
  }

  private static final class MemberEntry {
    MemberState state;
    long changedAtMillis;

    MemberEntry(MemberState state, long changedAtMillis) {
      this.state = state;
      this.changedAtMillis = changedAtMillis;
    }
  }
}
