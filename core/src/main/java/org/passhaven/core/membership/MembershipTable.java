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
 * What one node believes of all others. A heartbeat goes to one member a period, in a shuffled
 * round, so the cost of a node does not grow with the fleet; news ride on heartbeats, each a number
 * of times that grows with the logarithm of the fleet. A silent member is suspected, and has time
 * to speak up with a higher heartbeat before it counts as dead, so a paused process comes back by
 * itself. Pure; times in monotonic milliseconds. Not thread-safe.
 */
public final class MembershipTable {
  private static final int SPREAD_FACTOR = 3;
  private static final long FORGET_DEAD_MILLIS = 120_000;
  private final MembershipSettings settings;
  private final Map<NodeId, Entry> members = new TreeMap<>();
  private final Map<NodeId, Integer> newsSends = new LinkedHashMap<>();
  private final java.util.function.IntUnaryOperator randomBelow;
  private List<NodeId> round = List.of();
  private int nextInRound;
  private MemberState self;

  /**
   * Creates a table that knows only its own node.
   *
   * @param randomBelow a random number from zero to below its argument
   */
  public MembershipTable(
      MemberState self,
      MembershipSettings settings,
      java.util.function.IntUnaryOperator randomBelow) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** Own state, as sent with each message. */
  public MemberState self() {
    return self;
  }

  /** The configuration in force here changed. */
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

  /** This node begins a planned stop. */
  public void setLeaving() {
    self = beat(self, self.heartbeat() + 1).withStatus(Status.LEAVING);
  }

  /** A node named by the platform's list or the settings; what it says itself replaces this. */
  public void introduce(NodeId node, String address, String zone, long nowMillis) {
    if (!node.equals(self.node()) && !members.containsKey(node)) {
      MemberState state = new MemberState(node, address, zone, 0, 0, Status.ALIVE, 0);
      members.put(node, new Entry(state, nowMillis));
    }
  }

  /** The platform's list no longer names a node. */
  public void withdraw(NodeId node, long nowMillis) {
    Entry entry = members.get(node);
    if (entry != null && entry.state.status() == Status.ALIVE) {
      become(entry, entry.state.withStatus(Status.SUSPECT), nowMillis);
    }
  }

  /** Takes in what a message says. */
  public void onMessage(MemberState sender, Collection<MemberState> news, long nowMillis) {
    merge(sender, nowMillis);
    news.forEach(state -> merge(state, nowMillis));
  }

  private void merge(MemberState said, long nowMillis) {
    if (said.node().equals(self.node())) {
      refute(said);
      return;
    }
    Entry known = members.get(said.node());
    if (known == null) {
      if (said.status() != Status.DEAD) {
        members.put(said.node(), new Entry(said, nowMillis));
        newsSends.put(said.node(), 0);
      }
      return;
    }
    if (!replaces(said, known.state)) {
      return;
    }
    boolean isNews =
        said.status() != known.state.status() || said.incarnation() != known.state.incarnation();
    known.state = said;
    known.changedAtMillis = nowMillis;
    if (isNews) {
      newsSends.put(said.node(), 0);
    }
  }

  /** A statement that this node is gone is answered by a higher heartbeat. */
  private void refute(MemberState said) {
    boolean gone = said.status() == Status.SUSPECT || said.status() == Status.DEAD;
    if (said.incarnation() == self.incarnation() && said.heartbeat() >= self.heartbeat() && gone) {
      self = beat(self, said.heartbeat() + 1);
      newsSends.put(self.node(), 0);
    }
  }

  private static boolean replaces(MemberState said, MemberState known) {
    if (said.incarnation() != known.incarnation()) {
      return said.incarnation() > known.incarnation();
    }
    if (said.heartbeat() != known.heartbeat()) {
      return said.heartbeat() > known.heartbeat();
    }
    return said.status().compareTo(known.status()) > 0 || said.revision() > known.revision();
  }

  /** Ends a period: counts own heartbeat up, lets suspicion run out. */
  public void onPeriod(long nowMillis) {
    self = beat(self, self.heartbeat() + 1);
    for (Entry entry : List.copyOf(members.values())) {
      long silentMillis = nowMillis - entry.changedAtMillis;
      if (entry.state.status() == Status.SUSPECT
          && silentMillis >= settings.deadAfter().toMillis()) {
        become(entry, entry.state.withStatus(Status.DEAD), nowMillis);
      } else if (entry.state.status() == Status.DEAD && silentMillis >= FORGET_DEAD_MILLIS) {
        members.remove(entry.state.node());
      }
    }
  }

  /**
   * Next member to send a heartbeat to; dead ones are tried now and then, so that a healed cut
   * joins again.
   */
  public Optional<MemberState> nextTarget() {
    for (int tried = 0; tried <= members.size(); tried++) {
      if (nextInRound >= round.size()) {
        startRound();
      }
      if (round.isEmpty()) {
        return Optional.empty();
      }
      Entry entry = members.get(round.get(nextInRound++));
      if (entry != null) {
        return Optional.of(entry.state);
      }
    }
    return Optional.empty();
  }

  /** A member to ask for a second opinion on {@code target}. */
  public Optional<MemberState> helperFor(NodeId target) {
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

  /** Neither the member nor a helper reached it. */
  public void onUnreachable(NodeId node, long nowMillis) {
    Entry entry = members.get(node);
    if (entry != null && entry.state.status() == Status.ALIVE) {
      become(entry, entry.state.withStatus(Status.SUSPECT), nowMillis);
    }
  }

  /** News for the next message, least sent first; counts them as sent. */
  public List<MemberState> takeNews() {
    int sends = SPREAD_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
    List<NodeId> chosen =
        newsSends.entrySet().stream()
            .sorted(
                Map.Entry.<NodeId, Integer>comparingByValue()
                    .thenComparing(Map.Entry.comparingByKey()))
            .limit(settings.newsPerMessage())
            .map(Map.Entry::getKey)
            .toList();
    List<MemberState> news = new ArrayList<>();
    for (NodeId node : chosen) {
      Entry entry = members.get(node);
      if (node.equals(self.node())) {
        news.add(self);
      } else if (entry != null) {
        news.add(entry.state);
      }
      if (newsSends.merge(node, 1, Integer::sum) >= sends
          || (entry == null && !node.equals(self.node()))) {
        newsSends.remove(node);
      }
    }
    return news;
  }

  /** Own node and all others that take new work, by name. */
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

  /** All that is believed of others. */
  public List<MemberState> others() {
    return members.values().stream().map(entry -> entry.state).toList();
  }

  private void become(Entry entry, MemberState state, long nowMillis) {
    entry.state = state;
    entry.changedAtMillis = nowMillis;
    newsSends.put(state.node(), 0);
  }

  private static MemberState beat(MemberState state, long heartbeat) {
    return new MemberState(
        state.node(),
        state.address(),
        state.zone(),
        state.incarnation(),
        heartbeat,
        state.status(),
        state.revision());
  }

  private static final class Entry {
    MemberState state;
    long changedAtMillis;

    Entry(MemberState state, long changedAtMillis) {
      this.state = state;
      this.changedAtMillis = changedAtMillis;
    }
  }
}
