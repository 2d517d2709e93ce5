package org.passhaven.soak.run;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.soak.check.Bounds;
import org.passhaven.soak.check.Evidence;
import org.passhaven.soak.check.Finding;
import org.passhaven.soak.check.Judge;
import org.passhaven.soak.check.Tally;

/**
 * What is needed beside its history to judge a run; kept in the run's folder, so that a later
 * program can judge it again.
 *
 * @param seed the run's seed
 * @param trafficMillis length of the traffic, in ms
 * @param isFinalFault whether all nodes were lost at once at the end
 * @param faults how often each kind was planned
 * @param nodes names of all nodes
 * @param bounds the times that bind
 * @param readBackFromMillis when the reading back began, on the history's clock
 */
public record JudgedRun(
    long seed,
    long trafficMillis,
    boolean isFinalFault,
    Map<String, Long> faults,
    List<String> nodes,
    Bounds bounds,
    long readBackFromMillis) {
  private static final String FILE = "judged.json";

  /** Copies. */
  public JudgedRun {
    faults = Map.copyOf(faults);
    nodes = List.copyOf(nodes);
  }

  /** Judges a run again by the files in its folder. */
  public static Verdict judgeAgain(Path folder) throws IOException {
    Path file = folder.resolve(FILE);
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": is not there; the folder of a run that was judged is needed");
    }
    JudgedRun run = JsonMapper.builder().build().readValue(file.toFile(), JudgedRun.class);
    List<Observation> observations;
    try (Stream<String> lines = Files.lines(folder.resolve(RunFolder.HISTORY))) {
      observations = new ArrayList<>(lines.map(HistoryFormat::read).toList());
    }
    Map<String, Long> counts = new TreeMap<>();
    observations.forEach(seen -> counts.merge(seen.getClass().getSimpleName(), 1L, Long::sum));
    observations.sort(Comparator.comparingLong(Observation::atMillis));
    return run.judge(observations, counts);
  }

  /** Judges a history, given by time, with what was counted of it. */
  Verdict judge(List<Observation> observations, Map<String, Long> counts) {
    List<Tally> tallies =
        Judge.judge(new Evidence(observations, nodes, bounds, readBackFromMillis));
    List<Finding> findings = tallies.stream().flatMap(tally -> tally.findings().stream()).toList();
    return new Verdict(
        seed,
        nodes.size(),
        trafficMillis,
        isFinalFault,
        faults,
        counts,
        Verdict.checks(tallies),
        findings);
  }

  void write(Path folder) throws IOException {
    JsonMapper.builder().build().writeValue(folder.resolve(FILE).toFile(), this);
  }
}
