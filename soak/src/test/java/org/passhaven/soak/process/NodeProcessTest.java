package org.passhaven.soak.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.passhaven.platform.standin.history.NodeObservation.Happening;
import org.passhaven.platform.standin.history.NodeObservation.ProcessEvent;

class NodeProcessTest {
  private static final long LIMIT_MILLIS = 10_000;
  @TempDir Path directory;
  private final List<Happening> seen = new CopyOnWriteArrayList<>();

  private NodeProcess process(String... command) {
    ProcessSettings settings =
        new ProcessSettings(
            "n-1",
            List.of(command),
            directory,
            Map.of("KEY", "value"),
            directory.resolve("log"),
            suspension());
    return new NodeProcess(
        settings, () -> 0, observation -> seen.add(((ProcessEvent) observation).happening()));
  }

  private Suspension suspension() {
    return new Suspension(directory.resolve("suspended"));
  }

  private void awaitSeen(int count) throws InterruptedException {
    for (int i = 0; i < LIMIT_MILLIS && seen.size() < count; i++) {
      Thread.sleep(1);
    }
  }

  @Test
  void aStoppedProcessIsKilledAndStartedAgain() throws Exception {
    NodeProcess process = process("sleep", "60");
    process.start();
    process.start();
    process.freeze();
    assertThat(process.isRunning(), equalTo(true));
    process.kill();
    assertThat(process.awaitEnd(LIMIT_MILLIS), equalTo(true));
    awaitSeen(4);
    process.start();
    process.terminate();
    assertThat(process.awaitEnd(LIMIT_MILLIS), equalTo(true));
    awaitSeen(7);
    assertThat(
        seen,
        contains(
            Happening.STARTED,
            Happening.PAUSED,
            Happening.KILLED,
            Happening.ENDED,
            Happening.STARTED,
            Happening.STOP_ASKED,
            Happening.ENDED));
  }

  @Test
  void aRetiredProcessIsNotStartedAgain() throws Exception {
    NodeProcess process = process("sleep", "60");
    process.start();
    process.retire();
    assertThat(process.awaitEnd(LIMIT_MILLIS), equalTo(true));
    process.start();
    assertThat(process.isRunning(), equalTo(false));
  }

  @Test
  void anEndThatNobodyAskedForIsToldAndWhatItWroteIsKept() throws Exception {
    NodeProcess process = process("/bin/sh", "-c", "echo $KEY");
    process.start();
    awaitSeen(2);
    assertThat(seen, contains(Happening.STARTED, Happening.ENDED_UNASKED));
    assertThat(Files.readString(directory.resolve("log")), containsString("value"));
  }

  @Test
  void aSuspensionIsToldFromAStop() throws Exception {
    NodeProcess process = process("sleep", "60");
    process.start();
    process.suspend();
    assertThat(Files.exists(suspension().file()), equalTo(true));
    process.thaw();
    process.freeze();
    assertThat(Files.exists(suspension().file()), equalTo(false));
    process.kill();
    assertThat(process.awaitEnd(LIMIT_MILLIS), equalTo(true));
  }

  @Test
  void aSteadyClockLeavesOutSuspensionsOnly() {
    long gap = SuspendableNode.SteadyClock.GAP_NANOS;
    AtomicLong nanos = new AtomicLong();
    AtomicBoolean isSuspended = new AtomicBoolean(true);
    var clock = new SuspendableNode.SteadyClock(nanos::get, isSuspended::get);
    nanos.addAndGet(gap);
    assertThat(clock.getAsLong(), equalTo(gap));
    nanos.addAndGet(9 * gap);
    assertThat(clock.getAsLong(), equalTo(gap));
    isSuspended.set(false);
    nanos.addAndGet(9 * gap);
    assertThat(clock.getAsLong(), equalTo(10 * gap));
  }

  @Test
  void theCommandOfASuspendableNodeRunsItsMainClassBehindTheJar() {
    List<String> command =
        suspension().command(List.of("java", "-Xmx1m", "-jar", "target/a.jar", "x"));
    assertThat(command.get(2), startsWith("-D" + Suspension.PROPERTY + "="));
    assertThat(command.get(3), equalTo("-cp"));
    assertThat(command.get(4), startsWith("target/a.jar"));
    assertThat(command.subList(5, 7), equalTo(List.of(SuspendableNode.class.getName(), "x")));
  }
}
