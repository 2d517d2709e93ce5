package org.passhaven.core.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.passhaven.core.job.JobTable.Effect;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobItem;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.JobRecord.JobEnded;
import org.passhaven.protocol.job.JobRecord.JobPart;
import org.passhaven.protocol.job.JobSubmission;
import org.passhaven.protocol.job.TextLocation;

/** Guards against readers of the log that disagree on jobs, results or positions. */
class JobTableTest {
  private final JobTable table = new JobTable();

  static JobItem item(String id, String group) {
    return new JobItem(id, "/p/" + id, List.of(), new byte[] {1}, group, 0, null);
  }

  static JobSubmission submission(String id, long step, long oldestVersion, JobItem... items) {
    return new JobSubmission(
        id, "a.example", "/p/", "", "m", "m", step, oldestVersion, 1, List.of(items));
  }

  private static JobPart singlePieceJob(String id, long attempt, String... items) {
    JobItem[] jobItems = Arrays.stream(items).map(name -> item(name, "g")).toArray(JobItem[]::new);
    return new JobPart(id, attempt, 0, 1, Codec.encode(submission(id, 0, 0, jobItems)));
  }

  private static ItemFinished finished(String job, String item, String score) {
    return new ItemFinished(job, item, true, new TextLocation(7, 10), List.of(1L), score);
  }

  @Test
  void firstCopyOfASubmissionIsAccepted() {
    assertThat(table.apply(singlePieceJob("j", 1, "x"), 0), is(Effect.ACCEPTED));
    assertThat(table.apply(singlePieceJob("j", 2, "y"), 0), is(Effect.IGNORED));
    assertThat(table.get("j").item("x").id(), equalTo("x"));
    assertThat(table.get("j").item("y"), nullValue());
  }

  /** Guards against requests of listed items that fill the heap until a job finds no room in it. */
  @Test
  void theRequestOfAnItemIsKeptUntilItIsListed() {
    table.apply(singlePieceJob("j", 1, "x", "y"), 0);
    table.apply(finished("j", "x", ""), 0);
    Job job = table.get("j");
    assertThat(job.item("x").body().length, equalTo(0));
    assertThat(job.item("y").body().length, equalTo(1));
    assertThat(job.submission().items(), empty());
    assertThat(job.itemCount(), equalTo(2));
  }

  @Test
  void undecodableJobIsReportedAndNotADuplicate() {
    JobPart undecodable = new JobPart("j", 1, 0, 1, new byte[] {1, 2, 3});
    assertThat(table.apply(undecodable, 0), is(Effect.UNDECODABLE));
    assertThat(table.get("j"), nullValue());
    assertThat(table.apply(singlePieceJob("j", 2, "x"), 0), is(Effect.ACCEPTED));
  }

  @Test
  void piecesOfTwoAppendsAreNotMixed() {
    byte[] content = Codec.encode(submission("j", 0, 0, item("x", "g")));
    byte[] head = Arrays.copyOfRange(content, 0, 10);
    byte[] rest = Arrays.copyOfRange(content, 10, content.length);
    assertThat(table.apply(new JobPart("j", 1, 0, 2, head), 0), is(Effect.IGNORED));
    assertThat(table.apply(new JobPart("j", 2, 1, 2, rest), 0), is(Effect.IGNORED));
    assertThat(table.get("j"), nullValue());
    assertThat(table.apply(new JobPart("j", 1, 1, 2, rest), 0), is(Effect.ACCEPTED));
  }

  private List<String> open() {
    return table.openJobs().stream().map(Job::id).toList();
  }

  @Test
  void jobIsOpenUntilItEndsOrAllItemsHaveResults() {
    table.apply(new JobEnded("e"), 0);
    table.apply(singlePieceJob("e", 1, "x"), 0);
    table.apply(singlePieceJob("j", 1, "x", "y"), 0);
    table.apply(singlePieceJob("k", 1, "x"), 0);
    assertThat(open(), contains("j", "k"));
    table.apply(finished("j", "x", "one"), 0);
    table.apply(new JobEnded("k"), 0);
    assertThat(open(), contains("j"));
    table.apply(finished("j", "y", "two"), 0);
    assertThat(open(), empty());
  }

  @Test
  void firstResultOfAnItemKeepsItsPosition() {
    table.apply(singlePieceJob("j", 1, "x", "y"), 0);
    assertThat(table.apply(finished("j", "y", "one"), 0), is(Effect.RESULT_RECORDED));
    assertThat(table.apply(finished("j", "y", "two"), 0), is(Effect.IGNORED));
    assertThat(table.apply(finished("j", "x", "three"), 0), is(Effect.RESULT_RECORDED));
    assertThat(
        table.get("j").results().stream().map(ItemFinished::score).toList(),
        contains("one", "three"));
  }

  @Test
  void resultOfAnUnknownItemOrJobIsIgnored() {
    table.apply(singlePieceJob("j", 1, "x"), 0);
    assertThat(table.apply(finished("j", "z", "t"), 0), is(Effect.IGNORED));
    assertThat(table.apply(finished("k", "x", "t"), 0), is(Effect.IGNORED));
  }

  @Test
  void endRecordBeforeItsJobIsApplied() {
    assertThat(table.apply(new JobEnded("j"), 0), is(Effect.IGNORED));
    assertThat(table.apply(singlePieceJob("j", 1, "x"), 0), is(Effect.ACCEPTED));
    assertThat(table.get("j").isOpen(), is(false));
  }

  @Test
  void endIsAppliedOnceAndKeepsResults() {
    table.apply(singlePieceJob("j", 1, "x", "y"), 0);
    table.apply(finished("j", "x", "t"), 0);
    assertThat(table.apply(new JobEnded("j"), 0), is(Effect.ENDED));
    assertThat(table.apply(new JobEnded("j"), 0), is(Effect.IGNORED));
    assertThat(table.get("j").results().size(), is(1));
  }

  @Test
  void openJobsAreNeverRemoved() {
    table.apply(singlePieceJob("open", 1, "x"), 0);
    table.apply(singlePieceJob("ended", 1, "x"), 0);
    table.apply(new JobEnded("ended"), 0);
    table.removeClosedJobs(1);
    assertThat(table.get("ended"), nullValue());
    assertThat(table.get("open").isOpen(), is(true));
  }

  @Test
  void codecPreservesRecordTypes() {
    JobRecord read = Codec.decode(Codec.encode(finished("j", "x", "t")), JobRecord.class);
    assertThat(read, equalTo(finished("j", "x", "t")));
  }
}
