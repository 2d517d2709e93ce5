package org.passhaven.soak.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunLineTest {
  @TempDir Path directory;

  @Test
  void readsTheProjectsOwnDeployFile() throws IOException {
    RunLine line = RunLine.read(Path.of("").toAbsolutePath().getParent());
    assertThat(line.jar(), equalTo("target/passhaven.jar"));
    assertThat(line.command().get(0), equalTo("java"));
    assertThat(line.command(), hasItem("-jar"));
    assertThat(line.build(), containsString("package"));
  }

  @Test
  void tellsWhatIsMissing() throws IOException {
    assertThat(
        assertThrows(IOException.class, () -> RunLine.read(directory)).getMessage(),
        containsString("is not there"));
    Files.createDirectory(directory.resolve("deploy"));
    Files.writeString(directory.resolve(RunLine.FILE), "build = \"x\"\n[roles.a]\non = \"b\"\n");
    assertThat(
        assertThrows(IOException.class, () -> RunLine.read(directory)).getMessage(),
        containsString("roles.a.run"));
  }
}
