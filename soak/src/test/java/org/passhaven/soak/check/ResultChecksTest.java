package org.passhaven.soak.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.ServerObservation.RunEnd;
import org.passhaven.platform.standin.history.ServerObservation.RunEnded;
import org.passhaven.platform.standin.server.ItemScript;

class ResultChecksTest {
  private static final long LATER_MILLIS = 20_000;
  private static final String SCORE_ID = "score-1";

  private static Story reading(Result result) {
    return Story.withJob().read(LATER_MILLIS, Story.FIRST, 0, result);
  }

  private static Result errored() {
    return new Result(
        0, Story.ITEM, false, TextDigest.of(Story.ITEM, "", 1).format(), List.of(), "");
  }

  private static RunEnded end(int run, String id, RunEnd how, String signature) {
    return new RunEnded(12_000 + run, Story.INSTANCE, id, run, how, 0, signature);
  }

  private static RequestAnswered answer(
      int status, String signature, String answerId, boolean isWhole) {
    return new RequestAnswered(
        LATER_MILLIS,
        LATER_MILLIS - 9,
        Story.FIRST,
        "r-1",
        status,
        signature,
        answerId,
        1,
        isWhole);
  }

  /** A request that has run, and was answered with a signature. */
  private static Story ran() {
    return Story.begin().add(end(1, "r-1", RunEnd.WHOLE, "s"));
  }

  @Test
  void aWholeTextHolds() {
    reading(Story.result(0, Story.ITEM, 2L, 2L, 3L)).assertHolds(Promise.WHOLE_ANSWER);
  }

  @Test
  void aTextThatLacksRepeatsOrMixesEventsIsBroken() {
    reading(Story.result(0, Story.ITEM, 2L, 2L)).assertBroken(Promise.WHOLE_ANSWER);
    String twice = ItemScript.text(Story.ITEM, 1, 2, Story.CHARACTERS);
    String third = ItemScript.text(Story.ITEM, 3, 2, Story.CHARACTERS);
    reading(Story.result(0, Story.ITEM, twice + "\n" + twice + "\n" + third, List.of(2L)))
        .assertBroken(Promise.WHOLE_ANSWER);
    String other = ItemScript.text(Story.OTHER_ITEM, 2, 2, Story.CHARACTERS);
    reading(Story.result(0, Story.ITEM, twice + "\n" + other + "\n" + third, List.of(2L)))
        .assertBroken(Promise.WHOLE_ANSWER);
  }

  @Test
  void anItemIsErroredOnlyOnceItsAttemptsAreUsedUpOrItsJobEnded() {
    reading(errored()).assertBroken(Promise.WHOLE_ANSWER);
    reading(errored())
        .add(end(1, Story.ITEM, RunEnd.FAILED, ""))
        .assertBroken(Promise.WHOLE_ANSWER);
    reading(errored())
        .add(end(1, Story.ITEM, RunEnd.FAILED, ""))
        .add(end(2, Story.ITEM, RunEnd.FAILED, ""))
        .add(end(3, Story.ITEM, RunEnd.FAILED, ""))
        .assertHolds(Promise.WHOLE_ANSWER);
    reading(errored())
        .add(end(1, Story.ITEM, RunEnd.IMPOSSIBLE, ""))
        .assertHolds(Promise.WHOLE_ANSWER);
    reading(errored()).ended(15_000).assertHolds(Promise.WHOLE_ANSWER);
  }

  @Test
  void aScoreIsTheSignatureOfItsCall() {
    Result whole = Story.result(0, Story.ITEM, 2L, 2L, 2L);
    Result scored = new Result(0, Story.ITEM, true, whole.text(), whole.versions(), "signature");
    Story story =
        Story.withJob(Story.plan(false, SCORE_ID)).read(LATER_MILLIS, Story.FIRST, 0, scored);
    story.assertBroken(Promise.WHOLE_ANSWER);
    story.add(end(1, SCORE_ID, RunEnd.WHOLE, "signature")).assertHolds(Promise.WHOLE_ANSWER);
  }

  @Test
  void anAnswerIsWholeAndOfItsRequest() {
    ran().add(answer(200, "s", "r-1", true)).assertHolds(Promise.WHOLE_ANSWER);
    ran().add(answer(500, "", "r-1", false)).assertHolds(Promise.WHOLE_ANSWER);
    ran().add(answer(200, "s", "r-1", false)).assertBroken(Promise.WHOLE_ANSWER);
    ran().add(answer(200, "s", "r-2", true)).assertBroken(Promise.WHOLE_ANSWER);
  }

  @Test
  void aSignatureIsThatOfAWholeAnswerToItsRequest() {
    Story.begin().add(answer(200, "s", "r-1", true)).assertBroken(Promise.WHOLE_ANSWER);
    Story.begin()
        .add(end(1, "r-2", RunEnd.WHOLE, "s"))
        .add(answer(200, "s", "r-1", true))
        .assertBroken(Promise.WHOLE_ANSWER);
    ran().add(answer(200, "t", "r-1", true)).assertBroken(Promise.WHOLE_ANSWER);
    ran().add(answer(500, "s", "r-1", false)).assertBroken(Promise.WHOLE_ANSWER);
  }

  @Test
  void onlyFailuresBeforeAnItemIsErroredCount() {
    RunEnded late = new RunEnded(LATER_MILLIS + 1, "i", Story.ITEM, 3, RunEnd.FAILED, 0, "");
    Story story =
        reading(errored())
            .add(end(1, Story.ITEM, RunEnd.FAILED, ""))
            .add(end(2, Story.ITEM, RunEnd.FAILED, ""));
    story.add(late).assertBroken(Promise.WHOLE_ANSWER);
    story.add(end(4, Story.ITEM, RunEnd.FAILED, "")).assertHolds(Promise.WHOLE_ANSWER);
    reading(errored())
        .add(new RunEnded(LATER_MILLIS + 1, "i", Story.ITEM, 1, RunEnd.IMPOSSIBLE, 0, ""))
        .assertBroken(Promise.WHOLE_ANSWER);
  }

  @Test
  void versionsAreThoseThatMadeTheText() {
    reading(Story.result(0, Story.ITEM, 2L, 2L, 3L)).assertHolds(Promise.TRUTHFUL_VERSIONS);
    String text = ItemScript.text(Story.ITEM, 1, 2, Story.CHARACTERS);
    reading(Story.result(0, Story.ITEM, text, List.of(3L))).assertBroken(Promise.TRUTHFUL_VERSIONS);
  }

  @Test
  void versionsAreAllowed() {
    reading(Story.result(0, Story.ITEM, 1L, 2L, 2L)).assertBroken(Promise.TRUTHFUL_VERSIONS);
    Story.withJob(Story.plan(true, ""))
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 2L, 2L, 3L))
        .assertBroken(Promise.TRUTHFUL_VERSIONS);
    Story.withJob(Story.plan(true, ""))
        .read(LATER_MILLIS, Story.FIRST, 0, Story.result(0, Story.ITEM, 3L, 3L, 3L))
        .assertHolds(Promise.TRUTHFUL_VERSIONS);
  }

  @Test
  void aDigestIsReadAsItWasWritten() {
    String text = ItemScript.text(Story.ITEM, 1, 2, Story.CHARACTERS) + "\nno event";
    TextDigest digest = TextDigest.of(Story.ITEM, text, Story.CHARACTERS);
    assertThat(TextDigest.parse(digest.format()), equalTo(digest));
    assertThat(digest.fault(), equalTo("line 2 is no event"));
  }
}
