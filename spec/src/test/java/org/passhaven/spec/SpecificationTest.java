package org.passhaven.spec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks each module of the specification, and that a mutation of it is seen for each invariant.
 */
class SpecificationTest {
  private static final Path SOURCES = Path.of("src/main/tla");
  private static final String NONE = "none";
  private static final String DELIVERY_INVARIANTS =
      "ExactlyOnce WithinStalenessBound VersionsTruthful SingleEffectiveOwner";
  private static final int TLC_VIOLATION = 12;
  private static final int LIMIT_MINUTES = 5;

  private record Run(int exitCode, String output) {}

  @TempDir Path work;

  static Stream<Arguments> modules() {
    return Stream.of(
        Arguments.of("Delivery", "Delivery", DELIVERY_INVARIANTS, ""),
        Arguments.of("Delivery", "Delivery-versions", DELIVERY_INVARIANTS, ""),
        Arguments.of("Requests", "Requests", "AtMostOnce NotRunMeansNotRun", ""),
        Arguments.of(
            "Configuration",
            "Configuration",
            "RevisionMonotonic AcceptedStands",
            "ReachesEveryNode"),
        Arguments.of("Leaving", "Leaving", "NoNewWorkAfterLeave", ""),
        Arguments.of("Orders", "Orders", "OrdersApart", ""),
        Arguments.of("ForgetfulLog", "ForgetfulLog", "EpochsRise", ""));
  }

  static Stream<Arguments> mutations() {
    return Stream.of(
        Arguments.of("Delivery", "Delivery", "rebind", "ExactlyOnce"),
        Arguments.of("Delivery", "Delivery", "before-read-back", "ExactlyOnce"),
        Arguments.of(
            "Delivery", "Delivery-versions", "no-check-at-hand-over", "WithinStalenessBound"),
        Arguments.of("Delivery", "Delivery-versions", "version-at-begin", "VersionsTruthful"),
        Arguments.of("Delivery", "Delivery", "no-fence", "SingleEffectiveOwner"),
        Arguments.of("Requests", "Requests", "send-before-read-back", "AtMostOnce"),
        Arguments.of("Requests", "Requests", "withdraw-after-send", "AtMostOnce"),
        Arguments.of("Requests", "Requests", "run-after-giving-up", "NotRunMeansNotRun"),
        Arguments.of("Configuration", "Configuration", "take-any-image", "RevisionMonotonic"),
        Arguments.of("Configuration", "Configuration", "tell-at-append", "AcceptedStands"),
        Arguments.of("Leaving", "Leaving", "stale-list", "NoNewWorkAfterLeave"),
        Arguments.of("Orders", "Orders", "no-wait", "OrdersApart"),
        Arguments.of("Orders", "Orders", "valid-from-reading", "OrdersApart"),
        Arguments.of("Orders", "Orders", "no-read-back", "OrdersApart"),
        Arguments.of("ForgetfulLog", "ForgetfulLog", "next-epoch", "EpochsRise"),
        Arguments.of("ForgetfulLog", "ForgetfulLog", "deaf-to-gap", "EpochsRise"));
  }

  @ParameterizedTest
  @MethodSource("modules")
  void holds(String module, String constants, String invariants, String properties)
      throws Exception {
    Run run = check(module, constants, invariants, properties, NONE);
    assertThat(run.output(), run.exitCode(), equalTo(0));
    assertThat(run.output(), containsString("No error has been found"));
    assertThat(run.output(), containsString("Parsing file " + work.resolve("Naturals.tla")));
    run.output()
        .lines()
        .filter(line -> line.contains("distinct states found"))
        .reduce((first, last) -> last)
        .ifPresent(line -> System.out.println("specification: " + constants + ": " + line));
  }

  @ParameterizedTest
  @MethodSource("mutations")
  void mutationIsSeen(String module, String constants, String mutation, String invariant)
      throws Exception {
    Run run = check(module, constants, invariant, "", mutation);
    assertThat(run.output(), run.exitCode(), equalTo(TLC_VIOLATION));
    assertThat(run.output(), containsString("Invariant " + invariant + " is violated"));
    assertThat(run.output(), not(containsString("No error has been found")));
  }

  private Run check(
      String module, String constantsFile, String invariants, String properties, String mutation)
      throws IOException, InterruptedException {
    Path source = work.resolve(module + ".tla");
    Files.copy(SOURCES.resolve(module + ".tla"), source);
    String constants = Files.readString(SOURCES.resolve(constantsFile + ".constants"));
    String specification = properties.isEmpty() ? "Spec" : "FairSpec";
    String config =
        "SPECIFICATION "
            + specification
            + "\n"
            + constants
            + "CONSTANT Mutation = \""
            + mutation
            + "\"\n"
            + "INVARIANT "
            + invariants
            + "\n"
            + (properties.isEmpty() ? "" : "PROPERTY " + properties + "\n");
    Files.writeString(work.resolve(module + ".cfg"), config);
    Path output = work.resolve("output");
    Process process =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseParallelGC",
                    // TLC unpacks its standard modules here and deletes them at its end.
                    "-Djava.io.tmpdir=" + work,
                    "-Xmx3g",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "tlc2.TLC",
                    "-deadlock",
                    "-workers",
                    "4",
                    "-metadir",
                    work.resolve("states").toString(),
                    source.toString()))
            .directory(work.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    try {
      assertThat("finishes", process.waitFor(LIMIT_MINUTES, TimeUnit.MINUTES));
    } finally {
      process.destroyForcibly();
    }
    return new Run(process.exitValue(), Files.readString(output, StandardCharsets.UTF_8));
  }
}
