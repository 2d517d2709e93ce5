package org.passhaven.soak.run;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.passhaven.soak.check.Finding;
import org.passhaven.soak.check.Promise;
import org.passhaven.soak.check.Tally;

/**
 * What came of a run.
 *
 * @param seed the run's seed
 * @param nodes processes of the system
 * @param trafficMillis length of the traffic, in ms
 * @param isFinalFault whether all nodes were lost at once at the end
 * @param faults how often each kind was planned
 * @param counts what was seen, by kind
 * @param checks how often each promise was checked
 * @param findings what broke a promise, by time
 */
public record Verdict(
    long seed,
    int nodes,
    long trafficMillis,
    boolean isFinalFault,
    Map<String, Long> faults,
    Map<String, Long> counts,
    Map<Promise, Long> checks,
    List<Finding> findings) {
  private static final int MOST_FINDINGS_SHOWN = 12;

  /** Copies. */
  public Verdict {
    faults = Map.copyOf(faults);
    counts = Map.copyOf(counts);
    checks = Map.copyOf(checks);
    findings = List.copyOf(findings);
  }

  static Map<Promise, Long> checks(List<Tally> tallies) {
    Map<Promise, Long> checks = new EnumMap<>(Promise.class);
    tallies.forEach(tally -> checks.put(tally.promise(), tally.checkCount()));
    return checks;
  }

  /** Promises that the run never exercised. */
  public List<Promise> unchecked() {
    List<Promise> unchecked = new ArrayList<>();
    for (Promise promise : Promise.values()) {
      if (checks.getOrDefault(promise, 0L) == 0) {
        unchecked.add(promise);
      }
    }
    return unchecked;
  }

  /** Whether every promise held and something was checked. */
  public boolean isKept() {
    return findings.isEmpty() && checks.values().stream().anyMatch(count -> count > 0);
  }

  /** The verdict for people, line by line. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    for (Promise promise : Promise.values()) {
      long broken = findings.stream().filter(finding -> finding.promise() == promise).count();
      lines.add(
          String.format(
              Locale.ROOT,
              "  %-26s %8d checks %6d broken",
              promise,
              checks.getOrDefault(promise, 0L),
              broken));
    }
    if (!unchecked().isEmpty()) {
      lines.add("  never exercised: " + unchecked());
    }
    findings.stream()
        .limit(MOST_FINDINGS_SHOWN)
        .forEach(finding -> lines.add("  " + format(finding)));
    if (findings.size() > MOST_FINDINGS_SHOWN) {
      lines.add("  and " + (findings.size() - MOST_FINDINGS_SHOWN) + " more in the folder");
    }
    lines.add("seed " + seed + ": " + (isKept() ? "every promise held" : "NOT KEPT"));
    return lines;
  }

  private static String format(Finding finding) {
    return String.format(
        Locale.ROOT,
        "%s at %d ms, node %s, %s: %s",
        finding.promise(),
        finding.atMillis(),
        finding.node().isEmpty() ? "unknown" : finding.node(),
        finding.subject(),
        finding.text());
  }
}
