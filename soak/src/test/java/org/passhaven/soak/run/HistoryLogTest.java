package org.passhaven.soak.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.passhaven.platform.standin.history.JobObservation.EndAsked;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.ServerObservation.EventMade;
import org.passhaven.platform.standin.server.ItemScript;
import org.passhaven.soak.check.TextDigest;

class HistoryLogTest {
  private static final int CHARACTERS = 100;
  @TempDir Path directory;

  @Test
  void writesALineAnObservationAndKeepsTextsAsDigests() throws IOException {
    Path file = directory.resolve("history.jsonl");
    String text = ItemScript.text("item", 1, 2, CHARACTERS);
    Result result = new Result(0, "item", true, text, List.of(2L), "");
    EndAsked asked = new EndAsked(9, "n-1", "job");
    HistoryLog log = new HistoryLog(file, CHARACTERS);
    log.accept(new ResultsRead(10, 5, "n-1", "job", 0, 1, 1, List.of(result)));
    log.accept(new EventMade(11, "i-1", "item", 1, 1, 2));
    log.accept(asked);
    log.close();
    log.accept(asked);

    assertThat(log.counts(), equalTo(Map.of("ResultsRead", 1L, "EventMade", 1L, "EndAsked", 1L)));
    assertThat(log.sorted(), hasSize(2));
    assertThat(log.sorted().get(0), equalTo(asked));
    ResultsRead slim = (ResultsRead) log.sorted().get(1);
    assertThat(
        slim.results().get(0).text(), equalTo(TextDigest.of("item", text, CHARACTERS).format()));
    List<String> lines = Files.readAllLines(file);
    assertThat(lines, hasSize(2));
    assertThat(lines, contains(containsString("ResultsRead"), containsString("EndAsked")));
    assertThat(lines.stream().map(HistoryFormat::read).toList(), contains(slim, asked));
  }
}
