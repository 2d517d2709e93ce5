package org.passhaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.passhaven.emulator.check.Report;

/** Prints a report as a table. */
final class ReportTable {
  private static final int KEY_WIDTH = 30;

  private ReportTable() {}

  /** Prints the table; gives the exit code that the report earns. */
  static ExitCode print(Report report, boolean finished) {
    Map<String, Object> values =
        new ObjectMapper().convertValue(report, new TypeReference<Map<String, Object>>() {});
    values.forEach(
        (key, value) ->
            System.out.println(key + " ".repeat(Math.max(1, KEY_WIDTH - key.length())) + value));
    if (!finished) {
      System.out.println("the run did not finish in time");
    }
    boolean good = finished && report.violations() == 0;
    System.out.println(
        good ? "all promises kept" : "broken promises or missing samples: " + report.violations());
    return good ? ExitCode.OK : ExitCode.VIOLATION;
  }
}
