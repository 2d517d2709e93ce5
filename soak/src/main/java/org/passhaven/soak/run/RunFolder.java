package org.passhaven.soak.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.passhaven.soak.plan.FaultPlan;

/**
 * The files that a run leaves.
 *
 * @param path the folder
 */
record RunFolder(Path path) {
  /** Name of the file of the history. */
  static final String HISTORY = "history.jsonl";

  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  /** A new, empty folder; one of an earlier run is not written over. */
  static RunFolder create(Path path) throws IOException {
    if (Files.exists(path)) {
      throw new IOException(path + ": is there already; give another with --out");
    }
    Files.createDirectories(path);
    return new RunFolder(path);
  }

  Path history() {
    return path.resolve(HISTORY);
  }

  void writePlan(SoakSettings settings, FaultPlan plan) throws IOException {
    write("plan.json", plan);
    write("load.json", settings.load());
  }

  void writeVerdict(JudgedRun run, Verdict verdict) throws IOException {
    run.write(path);
    write("verdict.json", verdict);
    Files.write(path.resolve("verdict.txt"), verdict.lines());
  }

  private void write(String name, Object value) throws IOException {
    Files.writeString(path.resolve(name), JSON.writeValueAsString(value) + "\n");
  }
}
