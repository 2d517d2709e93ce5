package org.passhaven.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.passhaven.core.admission.AdmissionDecision.Reason;
import org.passhaven.core.admission.AdmissionDecision.Reject;
import org.passhaven.core.admission.AdmissionDecision.Send;
import org.passhaven.core.admission.AdmissionDecision.Wait;
import org.passhaven.core.admission.AdmissionRequest.Source;
import org.passhaven.core.admission.ServiceAdmission.WaitingDecision;

/**
 * Guards against unfair or overloading admission decisions, with two servers of four slots each:
 * the limit is one more for each server, its lower bound half of the slots.
 */
class ServiceAdmissionTest {
  private static final int SERVERS = 2;
  private static final int PLACES = 8;
  private static final int LIMIT = PLACES + SERVERS;
  private static final int FLOOR = PLACES / 2;
  private static final long WORK_MILLIS = 40;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long STOP_MILLIS = 6_700;

  /** A stop that ends before requests count as late. */
  private static final long SHORT_STOP_MILLIS = 2_000;

  private final Random random = new Random(5);
  private final ServiceAdmission admission = new ServiceAdmission(random::nextInt, 0);
  private final Deque<AdmissionRequest> running = new ArrayDeque<>();
  private final Map<String, Integer> served = new HashMap<>();
  private final Map<String, Integer> rejected = new HashMap<>();
  private long now;
  private long ids;

  @BeforeEach
  void start() {
    admission.onServers(SERVERS, PLACES, 0);
  }

  private AdmissionRequest request(String tenant, Source source, int priority, long left) {
    return new AdmissionRequest(ids++, "s", source.name(), tenant, source, priority, now + left);
  }

  private AdmissionRequest request(String tenant, String route, long left) {
    return new AdmissionRequest(ids++, "s", route, tenant, Source.CALLER, 2, now + left);
  }

  private AdmissionDecision offer(AdmissionRequest request) {
    AdmissionDecision decision = admission.decide(request, now);
    note(request, decision);
    return decision;
  }

  private AdmissionDecision offer(String tenant, Source source, int priority) {
    return offer(request(tenant, source, priority, DEADLINE_MILLIS));
  }

  private void note(AdmissionRequest request, AdmissionDecision decision) {
    if (decision instanceof Send) {
      running.add(request);
    } else if (decision instanceof Reject) {
      rejected.merge(kindOf(request), 1, Integer::sum);
    }
  }

  private static String kindOf(AdmissionRequest request) {
    return request.tenant() + request.source() + request.priority();
  }

  private List<WaitingDecision> next() {
    List<WaitingDecision> decisions = admission.decideWaiting(now);
    decisions.forEach(change -> note(change.request(), change.decision()));
    return decisions;
  }

  /** Ends the request that was sent first and returns the resulting decisions. */
  private List<WaitingDecision> endOne() {
    AdmissionRequest first = running.poll();
    admission.onResponse(first, WORK_MILLIS, now);
    admission.onEnded(first);
    served.merge(kindOf(first), 1, Integer::sum);
    served.merge(first.route(), 1, Integer::sum);
    return next();
  }

  private void fill(Source source) {
    while (offer("x", source, 2) instanceof Send) {}
  }

  private int served(String kind) {
    return served.getOrDefault(kind, 0);
  }

  /** Ends requests at the rate of the servers for a while; {@code arrive} runs each millisecond. */
  private void simulate(long lengthMillis, Runnable arrive) {
    double due = 0;
    for (long end = now + lengthMillis; now < end; now++) {
      arrive.run();
      due += PLACES / (double) WORK_MILLIS;
      for (; due >= 1 && !running.isEmpty(); due--) {
        endOne();
      }
      next();
    }
  }

  @Test
  void requestsAreSentWhileSlotsAreFree() {
    for (int i = 0; i < LIMIT; i++) {
      assertThat(offer("a", Source.SCORING, 2), instanceOf(Send.class));
    }
    assertThat(offer("a", Source.SCORING, 2), instanceOf(Wait.class));
  }

  @Test
  void callersAreSentWhileScoringsOccupyAllSlots() {
    fill(Source.SCORING);
    for (int i = 0; i < FLOOR; i++) {
      assertThat(offer("a", Source.CALLER, 2), instanceOf(Send.class));
    }
    assertThat(offer("a", Source.CALLER, 2), instanceOf(Wait.class));
  }

  @Test
  void callersGoBeforeScoringsOfTheSamePriority() {
    fill(Source.SCORING);
    fill(Source.CALLER);
    List<Source> order = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      offer("b", Source.SCORING, 2);
      offer("a", Source.CALLER, 2);
    }
    while (!running.isEmpty()) {
      endOne().forEach(change -> order.add(change.request().source()));
    }
    assertThat(order.subList(0, 7).stream().distinct().toList(), is(List.of(Source.CALLER)));
    assertThat(order.subList(7, 14).stream().distinct().toList(), is(List.of(Source.SCORING)));
  }

  /** One tenant sends twice as many requests as can be served, another one request a second. */
  @Test
  void anOverloadingTenantDoesNotStarveOthers() {
    simulate(
        20_000,
        () -> {
          if (now % 5 < 2) {
            offer("flood", Source.CALLER, 2);
          }
          if (now % 1_000 == 0) {
            offer("quiet", Source.CALLER, 2);
          }
        });
    assertThat(served("quietCALLER2"), greaterThanOrEqualTo(19));
    assertThat(served("floodCALLER2"), greaterThan(3_700));
  }

  /**
   * Two routes of one priority with different deadlines, each with more requests than can be
   * served.
   */
  @Test
  void aRouteWithLongDeadlinesIsNotStarvedByOneWithShortDeadlines() {
    simulate(
        20_000,
        () -> {
          if (now % 4 == 0) {
            offer(request("", "short", 800));
          }
          if (now % 4 == 1) {
            offer(request("", "long", 10_000));
          }
        });
    assertThat(served("short"), greaterThan(1_500));
    assertThat(served("long"), greaterThan(1_500));
  }

  /** The more urgent requests alone exceed the capacity. */
  @Test
  void urgentOverloadLeavesLessUrgentRequestsAQuarterOfTheOverallShare() {
    simulate(
        20_000,
        () -> {
          if (now % 4 == 0) {
            offer("urgent", Source.CALLER, 0);
          }
          if (now % 20 == 1) {
            offer("later", Source.CALLER, 3);
          }
        });
    double urgent = served("urgentCALLER0") / 5_000.0;
    double later = served("laterCALLER3") / 1_000.0;
    double all = (served("urgentCALLER0") + served("laterCALLER3")) / 6_000.0;
    assertThat(urgent, greaterThan(later - 0.05));
    assertThat(later, greaterThan(0.25 * all));
  }

  @Test
  void lessUrgentOverloadDoesNotDelayUrgentRequests() {
    simulate(
        10_000,
        () -> {
          offer("later", Source.CALLER, 3);
          if (now % 20 == 1) {
            offer("urgent", Source.CALLER, 0);
          }
        });
    assertThat(served("urgentCALLER0"), greaterThan(490));
    assertThat(rejected.getOrDefault("urgentCALLER0", 0), equalTo(0));
  }

  /** Callers fill all slots and the queue while a runner sends a few scorings. */
  @Test
  void lessUrgentScoringsGetAQuarterOfTheOverallShareAndNoMoreThanCallers() {
    simulate(
        20_000,
        () -> {
          offer("a", Source.CALLER, 0);
          if (now % 50 == 1) {
            offer("", Source.SCORING, 2);
          }
        });
    double callers = served("aCALLER0") / 20_000.0;
    double scorings = served("SCORING2") / 400.0;
    assertThat(scorings, both(greaterThan(0.25 * callers)).and(lessThan(callers + 0.05)));
  }

  @Test
  void requestsThatCannotMeetTheirDeadlineAreRejectedAtOnce() {
    fill(Source.CALLER);
    simulate(200, () -> fill(Source.CALLER));
    AdmissionDecision decision = offer(request("a", Source.CALLER, 2, 30));
    assertThat(((Reject) decision).reason(), is(Reason.TOO_LATE));
  }

  /** Response times measured minutes ago, when servers were slow, must not cause rejections now. */
  @Test
  void outdatedResponseTimesOfARouteAreForgotten() {
    AdmissionRequest slow = request("a", Source.CALLER, 2, DEADLINE_MILLIS);
    admission.onResponse(slow, 3 * DEADLINE_MILLIS, now);
    now += 60_000;
    fill(Source.SCORING);
    fill(Source.CALLER);
    assertThat(rejected.getOrDefault("xCALLER2", 0), equalTo(0));
    assertThat(offer("a", Source.CALLER, 2), instanceOf(Wait.class));
  }

  @Test
  void requestsAreRejectedIfTheWaitExceedsAThirdOfTheirTime() {
    AdmissionDecision decision = new Wait();
    for (int i = 0; !(decision instanceof Reject) && i < 1_000; i++) {
      decision = offer(request("a", Source.CALLER, 2, 500));
    }
    Reject reject = (Reject) decision;
    assertThat(reject.reason(), is(Reason.TOO_LONG));
    assertThat(
        reject.retryAfterMillis(),
        both(greaterThanOrEqualTo(80L)).and(lessThanOrEqualTo(500L / 3)));
  }

  @Test
  void waitingRequestsAreRejectedBeforeTheDeadlineIfNoSlotBecomesFree() {
    fill(Source.CALLER);
    int waiting = admission.load(now).waiting();
    now += DEADLINE_MILLIS / 3;
    List<WaitingDecision> decisions = next();
    assertThat(decisions, hasSize(waiting));
    assertThat(((Reject) decisions.get(0).decision()).reason(), is(Reason.TOO_LONG));
  }

  @Test
  void newAndWaitingRequestsAreRejectedWithoutServers() {
    fill(Source.CALLER);
    offer("a", Source.SCORING, 2);
    int waiting = admission.load(now).waiting();
    List<AdmissionRequest> sent = List.copyOf(running);
    admission.onServers(0, 0, now);
    List<WaitingDecision> decisions = next();
    assertThat(decisions, hasSize(waiting));
    decisions.forEach(
        change -> assertThat(((Reject) change.decision()).reason(), is(Reason.NO_SERVER)));
    assertThat(offer("a", Source.CALLER, 2), instanceOf(Reject.class));
    assertThat(List.copyOf(running), equalTo(sent));
    decisions.forEach(change -> assertThat(sent.contains(change.request()), is(false)));
  }

  @Test
  void requestsThatCannotMeetTheirDeadlineWithFewerServersAreRejected() {
    fill(Source.CALLER);
    for (int i = 0; i < 60; i++) {
      offer(request("a", Source.CALLER, 2, 900));
    }
    int before = admission.load(now).waiting();
    admission.onServers(1, 1, now);
    List<WaitingDecision> decisions = next();
    assertThat(decisions, not(empty()));
    assertThat(decisions.size(), lessThan(before));
    decisions.forEach(change -> assertThat(change.decision(), instanceOf(Reject.class)));
  }

  @Test
  void retryAfterGrowsWithTheLengthOfAnOutage() {
    admission.onServers(0, 0, now);
    long soon = ((Reject) offer("a", Source.CALLER, 0)).retryAfterMillis();
    now += 400;
    long later = ((Reject) offer("a", Source.CALLER, 0)).retryAfterMillis();
    assertThat(soon, both(greaterThanOrEqualTo(100L)).and(lessThan(150L)));
    assertThat(later, greaterThanOrEqualTo(400L));
  }

  @Test
  void retriesAreJitteredAndLessUrgentOnesComeLater() {
    TreeSet<Long> first = new TreeSet<>();
    TreeSet<Long> second = new TreeSet<>();
    for (int i = 0; i < 200; i++) {
      first.add(admission.retryAfterMillis(request("a", Source.CALLER, 0, 2_000), now));
      second.add(admission.retryAfterMillis(request("a", Source.CALLER, 1, 2_000), now));
    }
    assertThat(first.size(), greaterThan(30));
    assertThat(first.last(), lessThan(second.first()));
  }

  @Test
  void requestOfADisconnectedCallerLeavesTheQueueAndOccupiesNoSlot() {
    fill(Source.CALLER);
    AdmissionRequest left = request("a", Source.CALLER, 2, DEADLINE_MILLIS);
    offer(left);
    int waiting = admission.load(now).waiting();
    admission.onEnded(left);
    assertThat(admission.load(now).waiting(), equalTo(waiting - 1));
    for (int i = 0; i < 2 * LIMIT && !running.isEmpty(); i++) {
      endOne();
    }
    assertThat(running.contains(left), is(false));
    assertThat(admission.load(now).inProgress(), equalTo(running.size()));
  }

  @Test
  void requestsWaitOnlyBrieflyWhileTheNodeStops() {
    fill(Source.SCORING);
    admission.beginShutdown(now, now + STOP_MILLIS);
    assertThat(next(), empty());
    now += 1_000;
    List<WaitingDecision> decisions = next();
    assertThat(decisions, hasSize(1));
    assertThat(offer("a", Source.SCORING, 2), instanceOf(Reject.class));
  }

  /** Guards against requests that are taken after a SIGTERM and cut when the process ends. */
  @Test
  void aStoppingNodeRejectsCallersRequestsThatMightOutlastIt() {
    AdmissionRequest slow = request("a", "slow", 3_000);
    offer(slow);
    admission.onResponse(slow, 1_700, now);
    admission.onResponse(slow, 900, now);
    admission.beginShutdown(now, now + SHORT_STOP_MILLIS);
    now = SHORT_STOP_MILLIS - 1_700;
    assertThat("ends in time", offer(request("a", "slow", 3_000)), instanceOf(Send.class));
    now++;
    Reject rejected = (Reject) offer(request("a", "slow", 3_000));
    assertThat(rejected, is(new Reject(Reason.STOPPING, 0)));
    assertThat("due before", offer(request("a", "slow", 1_000)), instanceOf(Send.class));
    assertThat(offer("a", Source.SCORING, 2), instanceOf(Send.class));
  }

  /**
   * Guards against work that suddenly takes longer, is taken late in a stop and lost at its end.
   */
  @Test
  void aRequestThatComesLateInAStopIsTakenOnlyIfItIsDueBeforeTheNodeEnds() {
    AdmissionRequest fast = request("a", "fast", 4_400);
    offer(fast);
    admission.onResponse(fast, 150, now);
    admission.beginShutdown(now, now + STOP_MILLIS);
    now = 2_400;
    assertThat("early", offer(request("a", "fast", 4_400)), instanceOf(Send.class));
    for (now = 3_000; now < STOP_MILLIS; now += 100) {
      long left = STOP_MILLIS - now;
      assertThat(
          "at " + now, offer(request("a", "fast", left + 1)), is(new Reject(Reason.STOPPING, 0)));
      AdmissionRequest due = request("a", "fast", left);
      assertThat("due before, at " + now, offer(due), instanceOf(Send.class));
      admission.onEnded(due);
      admission.onResponse(due, 150, now);
    }
  }

  /** Guards against a request that waits, is sent late in a stop and lost at its end. */
  @Test
  void aWaitingRequestThatWouldBeSentLateInAStopIsNotSent() {
    List<AdmissionRequest> all = new ArrayList<>();
    for (int i = 0; i <= LIMIT; i++) {
      all.add(request("a", "fast", 9_000));
      offer(all.get(i));
    }
    AdmissionRequest waiting = all.get(LIMIT);
    assertThat(admission.load(now).waiting(), equalTo(1));
    admission.onResponse(all.get(0), 150, now);
    admission.beginShutdown(now - 2_500, now + STOP_MILLIS - 2_500);
    all.subList(0, LIMIT).forEach(admission::onEnded);
    List<WaitingDecision> decisions = admission.decideWaiting(now);
    assertThat(decisions, contains(new WaitingDecision(waiting, new Reject(Reason.STOPPING, 0))));
  }

  @Test
  void aStoppingNodeTakesRequestsOfUnknownDurationWhoseDeadlineIsBeforeItsEnd() {
    admission.beginShutdown(now, now + STOP_MILLIS);
    now = STOP_MILLIS - 1_000;
    assertThat(offer(request("a", "new", 1_000)), instanceOf(Send.class));
    assertThat(offer(request("a", "new", 1_001)), is(new Reject(Reason.STOPPING, 0)));
  }

  @Test
  void aWaitingRequestThatMightOutlastTheNodeIsRejected() {
    fill(Source.CALLER);
    AdmissionRequest slow = running.peek();
    admission.onResponse(slow, 1_500, now);
    admission.beginShutdown(now, now + 1_510);
    now += 20;
    List<WaitingDecision> decisions = next();
    assertThat(decisions, hasSize(1));
    assertThat(decisions.get(0).decision(), is(new Reject(Reason.STOPPING, 0)));
  }

  @Test
  void shutdownRejectsWaitingRequestsButNotSentOnes() {
    fill(Source.SCORING);
    List<WaitingDecision> decisions = admission.rejectAllWaiting(now);
    assertThat(decisions, hasSize(1));
    assertThat(((Reject) decisions.get(0).decision()).reason(), is(Reason.STOPPING));
    assertThat(running.contains(decisions.get(0).request()), is(false));
    assertThat(admission.load(now).inProgress(), equalTo(LIMIT));
  }

  /** One tenant's requests fill the queue; another tenant's request replaces one of them. */
  @Test
  void aFullQueueReplacesARequestOfTheLongestFlow() {
    for (int i = 0; i < 1_000; i++) {
      offer(request("flood", Source.SCORING, 2, 60_000));
    }
    int maxWaiting = admission.load(now).waiting();
    AdmissionRequest other = request("quiet", Source.SCORING, 2, 60_000);
    assertThat(offer(other), instanceOf(Wait.class));
    List<WaitingDecision> decisions = next();
    assertThat(decisions, hasSize(1));
    assertThat(decisions.get(0).request().tenant(), equalTo("flood"));
    assertThat(admission.load(now).waiting(), equalTo(maxWaiting));
  }
}
