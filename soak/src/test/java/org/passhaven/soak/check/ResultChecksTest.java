package org.passhaven.soak.check;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.RequestObservation.RequestAnswered;
import org.passhaven.platform.standin.history.ServerObservation.AnswerEnding;
import org.passhaven.platform.standin.history.ServerObservation.AnswerFraming;
import org.passhaven.platform.standin.history.ServerObservation.AnswerHarm;
import org.passhaven.platform.standin.history.ServerObservation.AnswerHarmed;
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

  /** A failure whose head went out whole, and one of which a part of the head did. */
  @Test
  void aFailureThatWasBrokenOffCountsForAnItemOnlyIfItsHeadWasWhole() {
    Story failedTwice =
        reading(errored())
            .add(end(1, Story.ITEM, RunEnd.FAILED, ""))
            .add(end(2, Story.ITEM, RunEnd.FAILED, ""))
            .add(end(3, Story.ITEM, RunEnd.BROKEN, ""));
    failedTwice.add(harmed(Story.ITEM, 500, "", 179)).assertBroken(Promise.WHOLE_ANSWER);
    failedTwice.add(harmed(Story.ITEM, 200, "s", 220)).assertBroken(Promise.WHOLE_ANSWER);
    failedTwice.add(harmed(Story.ITEM, 500, "", 180)).assertHolds(Promise.WHOLE_ANSWER);
    reading(errored()).add(harmed(Story.ITEM, 422, "", 179)).assertBroken(Promise.WHOLE_ANSWER);
    reading(errored()).add(harmed(Story.ITEM, 422, "", 181)).assertHolds(Promise.WHOLE_ANSWER);
  }

  private static AnswerHarmed harmed(String id, int status, String signature) {
    return harmed(id, status, signature, 220);
  }

  private static AnswerHarmed harmed(String id, int status, String signature, int sentBytes) {
    return new AnswerHarmed(
        12_001,
        Story.INSTANCE,
        id,
        signature,
        status,
        AnswerHarm.BROKEN,
        AnswerFraming.CHUNKS,
        AnswerEnding.CLOSE,
        false,
        180,
        sentBytes,
        "");
  }

  /** Guards against a success that a caller makes of an answer its server broke off or failed. */
  @Test
  void aSuccessOfAnAnswerThatWasBrokenOffOrAFailureIsBroken() {
    Story cut =
        Story.begin()
            .add(end(1, "r-1", RunEnd.BROKEN, ""))
            .add(harmed("r-1", 200, "s"))
            .add(answer(200, "s", "r-1", true));
    cut.assertBroken(Promise.WHOLE_ANSWER);
    assertThat(
        cut.judge(Promise.WHOLE_ANSWER).findings().get(0).text(),
        containsString(
            "i-1 answered 200: BROKEN CHUNKS CLOSE, 180 bytes of head, 220 sent, signature s"));
    Story.begin()
        .add(end(1, "r-1", RunEnd.BROKEN, ""))
        .add(answer(200, "", "r-1", false))
        .assertBroken(Promise.WHOLE_ANSWER);
    Story.begin()
        .add(end(1, "r-1", RunEnd.FAILED, ""))
        .add(answer(200, "s", "r-1", true))
        .assertBroken(Promise.WHOLE_ANSWER);
    ran()
        .add(harmed("r-1", 200, "t"))
        .add(answer(200, "t", "r-1", true))
        .assertBroken(Promise.WHOLE_ANSWER);
    ran()
        .add(harmed("r-1", 200, "t"))
        .add(answer(200, "s", "r-1", true))
        .assertHolds(Promise.WHOLE_ANSWER);
  }

  @Test
  void aScoreOfACallThatWasBrokenOffIsBroken() {
    Result whole = Story.result(0, Story.ITEM, 2L, 2L, 2L);
    Result scored = new Result(0, Story.ITEM, true, whole.text(), whole.versions(), "s");
    Story.withJob(Story.plan(false, SCORE_ID))
        .read(LATER_MILLIS, Story.FIRST, 0, scored)
        .add(end(1, SCORE_ID, RunEnd.BROKEN, ""))
        .add(harmed(SCORE_ID, 200, "s"))
        .assertBroken(Promise.WHOLE_ANSWER);
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
