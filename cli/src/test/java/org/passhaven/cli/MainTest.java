package org.passhaven.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
  @TempDir Path directory;

  private record Result(ExitCode code, String errors) {}

  private static Result run(String... arguments) {
    PrintStream before = System.err;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
    try {
      return new Result(Main.run(arguments), captured.toString(StandardCharsets.UTF_8));
    } finally {
      System.setErr(before);
    }
  }

  private String file(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content).toString();
  }

  @Test
  void unknownCommandAndMissingOptionsAreUsageErrors() {
    assertThat(run("nothing").code(), equalTo(ExitCode.USAGE));
    assertThat(run("validate").errors(), containsString("--f is needed"));
    assertThat(
        run("experiment", "--scenario", "calm", "--policy", "best").code(),
        equalTo(ExitCode.USAGE));
    assertThat(
        run("quickstart", "--steps", "0").errors(),
        containsString("--steps must be a whole number from 1"));
  }

  @Test
  void aSoakTellsWhatIsWrongBeforeItStartsAnything() {
    assertThat(run("soak", "--seeds", "5..2").errors(), containsString("--seeds is reversed"));
    assertThat(run("soak", "--seeds", "x").errors(), containsString("as in 1..50"));
    assertThat(run("soak", "--seed", "1", "--seeds", "1..2").code(), equalTo(ExitCode.USAGE));
    assertThat(run("soak", "--unheard-of").code(), equalTo(ExitCode.USAGE));
    assertThat(run("soak", "more").code(), equalTo(ExitCode.USAGE));
    assertThat(run("soak", "--minutes", "0").errors(), containsString("--minutes must be"));
    assertThat(
        run("soak", "--judge", directory.toString()).errors(), containsString("is not there"));
    assertThat(run("soak", "--load", "huge").errors(), containsString("small or large"));
    assertThat(
        run("soak", "--repository", directory.toString()).errors(), containsString("is not there"));
  }

  @Test
  void invalidConfigurationNamesFileKeyAndRule() throws IOException {
    file("a.yaml", "kind: trainer\nname: t\nmodel: m\nstalenessBound: -1\n");
    Result result = run("validate", "-f", directory.toString());
    assertThat(result.code(), equalTo(ExitCode.INVALID));
    assertThat(result.errors(), containsString("trainer/t: stalenessBound"));
    assertThat(result.errors(), containsString("no document model/m"));
  }

  @Test
  void shippedExamplesAreValid() {
    assertThat(run("validate", "-f", "../examples/necpa").code(), equalTo(ExitCode.OK));
    assertThat(run("validate", "-f", "../examples/bensalah").code(), equalTo(ExitCode.OK));
  }

  @Test
  void wrongSettingsFileTellsEveryError() throws IOException {
    Result result =
        run(
            "node",
            "--config",
            file("node.yaml", "node: ''\nzone: z\naddress: a:1\nlog: b:1\nmachineList: ''\n"));
    assertThat(result.code(), equalTo(ExitCode.INVALID));
    assertThat(result.errors(), containsString("machineList"));
    assertThat(result.errors(), containsString("node:"));
  }

  @Test
  void unknownScenarioKeyIsRefused() throws IOException {
    Result result =
        run(
            "experiment",
            "--scenario",
            file(
                "s.yaml",
                "name: s\nsite: necpa\nsteps: 1\nfaults: []\nrandomFaults: 0\nconfigurationPeriodMillis: 0\ncolour: red\n"));
    assertThat(result.code(), equalTo(ExitCode.INVALID));
    assertThat(result.errors(), containsString("colour"));
  }

  @Test
  void unreachableNodeHasItsOwnExitCode() {
    assertThat(run("status", "--server", "127.0.0.1:1").code(), equalTo(ExitCode.UNREACHABLE));
  }
}
