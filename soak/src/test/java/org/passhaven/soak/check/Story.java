package org.passhaven.soak.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.passhaven.platform.standin.history.ItemPlan;
import org.passhaven.platform.standin.history.JobObservation.EndAcknowledged;
import org.passhaven.platform.standin.history.JobObservation.EndAsked;
import org.passhaven.platform.standin.history.JobObservation.JobAccepted;
import org.passhaven.platform.standin.history.JobObservation.JobPlanned;
import org.passhaven.platform.standin.history.JobObservation.JobSent;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.JobPlan;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.OperatorObservation.VersionSent;
import org.passhaven.platform.standin.history.RequestObservation.RequestSent;
import org.passhaven.platform.standin.history.ServerObservation.RunBegun;
import org.passhaven.platform.standin.server.ItemScript;

/** A history written by hand, with what the checks' tests have in common. */
final class Story {
  static final String FIRST = "n-1";
  static final String SECOND = "n-2";
  static final String JOB = "job-1";
  static final String ITEM = "item-1";
  static final String OTHER_ITEM = "item-2";
  static final String HOST = "h.example";
  static final String PATH = "/p/1";
  static final String SERVICE = "service-1";
  static final String INSTANCE = "i-1";
  static final int EVENTS = 3;
  static final int CHARACTERS = 40;
  static final long BODY_HASH = 7;
  static final long ACCEPTED_MILLIS = 10_010;
  static final long LEAST_VERSION = 2;
  private static final long NAMED_VERSION = 3;
  private static final long SENT_MILLIS = 10_000;

  private final List<Observation> observations = new ArrayList<>();
  private long readBackFromMillis = Long.MAX_VALUE;

  /** A history that begins with the start of two nodes. */
  static Story begin() {
    return new Story()
        .add(new ProcessEvent(0, FIRST, Happening.STARTED, 11))
        .add(new ProcessEvent(0, SECOND, Happening.STARTED, 12));
  }

  /** A history with a job of two items that was accepted. */
  static Story withJob() {
    return withJob(Story.plan());
  }

  static Story withJob(JobPlan plan) {
    return begin()
        .add(new VersionSent(SENT_MILLIS - 1, plan.model(), NAMED_VERSION))
        .add(new JobPlanned(SENT_MILLIS, plan))
        .add(new JobSent(SENT_MILLIS, FIRST, JOB, 1))
        .add(new JobAccepted(ACCEPTED_MILLIS, SENT_MILLIS, FIRST, JOB, 1));
  }

  static JobPlan plan() {
    return plan(false, "");
  }

  static JobPlan plan(boolean singleVersion, String scoreId) {
    return new JobPlan(
        JOB,
        HOST,
        PATH,
        "m",
        0,
        LEAST_VERSION,
        1,
        singleVersion,
        3,
        8_000,
        0,
        List.of(item(ITEM, scoreId), item(OTHER_ITEM, "")));
  }

  private static ItemPlan item(String id, String scoreId) {
    return new ItemPlan(id, "g", PATH, BODY_HASH, 10, EVENTS, ItemPlan.Fate.WHOLE, scoreId);
  }

  Story add(Observation observation) {
    observations.add(observation);
    return this;
  }

  Story readBackFrom(long millis) {
    readBackFromMillis = millis;
    return this;
  }

  Story read(long atMillis, String node, int from, Result... results) {
    return add(
        new ResultsRead(
            atMillis, atMillis - 5, node, JOB, from, 2, from + results.length, List.of(results)));
  }

  Story ended(long atMillis) {
    return add(new EndAsked(atMillis - 10, FIRST, JOB))
        .add(new EndAcknowledged(atMillis, atMillis - 10, FIRST, JOB));
  }

  Story run(long atMillis, String id, int run) {
    return run(atMillis, id, run, SERVICE, PATH);
  }

  Story run(long atMillis, String id, int run, String service, String path) {
    return add(
        new RunBegun(
            atMillis, INSTANCE, service, id, run, "POST", path, HOST, BODY_HASH, 0, 0, 1_000));
  }

  Story request(long atMillis, String node, String id, boolean mayRepeat) {
    return add(new RequestSent(atMillis, node, id, HOST, PATH, mayRepeat, false, BODY_HASH, 1_000));
  }

  /** The whole text of an item, each event under the version given for it. */
  static Result result(int position, String item, Long... versions) {
    String text =
        IntStream.range(0, versions.length)
            .mapToObj(i -> ItemScript.text(item, i + 1, versions[i], CHARACTERS))
            .collect(Collectors.joining("\n"));
    List<Long> told = Arrays.stream(versions).distinct().toList();
    return result(position, item, text, told);
  }

  static Result result(int position, String item, String text, List<Long> versions) {
    return new Result(
        position, item, true, TextDigest.of(item, text, CHARACTERS).format(), versions, "");
  }

  /** Judges one promise. */
  Tally judge(Promise promise) {
    List<Observation> sorted = new ArrayList<>(observations);
    sorted.sort(Comparator.comparingLong(Observation::atMillis));
    Evidence evidence =
        new Evidence(sorted, List.of(FIRST, SECOND), Bounds.usual(), readBackFromMillis);
    return Judge.judge(evidence).stream()
        .filter(tally -> tally.promise() == promise)
        .findFirst()
        .orElseThrow();
  }

  /** The promise was checked and held. */
  void assertHolds(Promise promise) {
    Tally tally = judge(promise);
    assertThat(tally.findings(), empty());
    assertThat(tally.checkCount(), greaterThan(0L));
  }

  /** The promise was broken. */
  void assertBroken(Promise promise) {
    assertThat(judge(promise).findings(), not(empty()));
  }

  /** Nothing bound. */
  void assertUnbound(Promise promise) {
    assertThat(judge(promise).findings(), empty());
  }

  /** The promise was not checked at all. */
  void assertNotChecked(Promise promise) {
    assertThat(judge(promise).checkCount(), equalTo(0L));
  }
}
