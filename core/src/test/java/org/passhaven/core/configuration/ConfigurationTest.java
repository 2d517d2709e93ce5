package org.passhaven.core.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.passhaven.core.configuration.ConfigurationParser.SourceFile;
import org.passhaven.protocol.ConfigurationDocument;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

/** Guards against accepting invalid configurations and conflicting changes. */
class ConfigurationTest {
  private static final String MODEL = "kind: model\nname: m\nengineGroup: g\n";
  private static final String TRAINER = "kind: trainer\nname: t\nmodel: m\nstalenessBound: 2\n";
  private final ConfigurationParser parser = new ConfigurationParser();

  private List<String> errorsOf(String... files) {
    List<SourceFile> sources = new java.util.ArrayList<>();
    for (String file : files) {
      sources.add(new SourceFile("f" + sources.size() + ".yaml", file));
    }
    return assertThrows(ConfigurationException.class, () -> parser.parse(sources)).errors();
  }

  @Test
  void validFilesGiveTheirDocuments() throws ConfigurationException {
    List<ConfigurationDocument> documents =
        parser.parse(List.of(new SourceFile("a.yaml", MODEL + "---\n" + TRAINER)));
    ConfigurationSnapshot snapshot = parser.snapshot(3, documents);
    assertThat(snapshot.trainers().get("t").stalenessBound(), equalTo(2));
    assertThat(snapshot.engineGroupOf("t").orElseThrow(), equalTo("g"));
  }

  @Test
  void anInvalidFileRejectsAllFilesWithEveryError() {
    List<String> errors =
        errorsOf(
            MODEL,
            TRAINER.replace("2", "-1"),
            "kind: trainer\nname: u\nmodel: none\n",
            "kind: x\nname: y\n");
    assertThat(errors, hasItem(containsString("trainer/t: stalenessBound")));
    assertThat(errors, hasItem(containsString("trainer/u: stalenessBound")));
    assertThat(errors, hasItem(containsString("trainer/u: model: no document model/none")));
    assertThat(errors, hasItem(containsString("f3.yaml document 1: kind")));
  }

  @Test
  void duplicateNamesAndUnknownKeysAreRejected() {
    assertThat(errorsOf(MODEL, MODEL), hasItem(containsString("model/m is defined twice")));
    assertThat(errorsOf(MODEL + "colour: red\n"), hasItem(containsString("colour")));
    assertThat(errorsOf(MODEL + "name: n\n").size(), greaterThan(0));
  }

  @Test
  void serviceWithoutServerGroupIsRejected() {
    assertThat(
        errorsOf("kind: service\nname: s\ndeadlineMillis: 10\n"),
        hasItem(containsString("service/s: serverGroup")));
  }

  @Test
  void modelHasOneTrainer() {
    String other = TRAINER.replace("name: t", "name: u");
    assertThat(
        errorsOf(MODEL, TRAINER, other),
        hasItem(containsString("trainer/u: model: trainer/t trains this model already")));
  }

  /** Any content is either accepted or rejected with errors; no other exception is thrown. */
  @Property(tries = 300, seed = "20261202")
  boolean anyTextIsAcceptedOrRejected(@ForAll String text) {
    try {
      parser.parse(List.of(new SourceFile("any.yaml", text)));
      return true;
    } catch (ConfigurationException e) {
      return !e.errors().isEmpty();
    }
  }

  @Test
  void ofTwoConcurrentChangesTheFirstInTheLogWins() {
    ConfigurationLog log = new ConfigurationLog();
    ConfigurationDocument first = new ConfigurationDocument("model/m", "{}");
    ConfigurationDocument second = new ConfigurationDocument("model/n", "{}");
    LogEntry one =
        new LogEntry(
            new RecordId(new NodeId("a"), 1, 1), log.changeTo(List.of(first), "operator-1"));
    LogEntry two =
        new LogEntry(
            new RecordId(new NodeId("b"), 1, 1), log.changeTo(List.of(second), "operator-2"));
    assertThat("first", log.apply(one));
    assertThat("second", !log.apply(two));
    assertThat("copy", !log.apply(one));
    assertThat(log.revision(), equalTo(1L));
    assertThat(log.documents(), equalTo(List.of(first)));
    assertThat(log.lastOperator(), equalTo("operator-1"));
  }
}
