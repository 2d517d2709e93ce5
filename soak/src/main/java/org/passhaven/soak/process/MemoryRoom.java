package org.passhaven.soak.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;

/** Tells whether the machine has room for the processes of a run. */
public final class MemoryRoom {
  /** What a node's process takes at most: its heap, its code and its buffers, in MB. */
  static final long NODE_MB = 160;

  /** What the soak itself takes beside them: the store's history and what was seen, in MB. */
  static final long OWN_MB = 1_000;

  private static final Path FILE = Path.of("/proc/meminfo");
  private static final String AVAILABLE = "MemAvailable:";
  private static final long KB_PER_MB = 1_024;

  private MemoryRoom() {}

  /** Memory that is available on this machine, in MB; empty where it isn't told. */
  public static Optional<Long> availableMb() {
    try {
      return Files.readString(FILE)
          .lines()
          .filter(line -> line.startsWith(AVAILABLE))
          .findFirst()
          .map(line -> Long.parseLong(line.replaceAll("\\D", "")) / KB_PER_MB);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** An error if so many nodes don't fit into the memory that is available. */
  public static Optional<String> shortage(int nodeCount, long availableMb) {
    long neededMb = OWN_MB + nodeCount * NODE_MB;
    if (neededMb <= availableMb) {
      return Optional.empty();
    }
    long most = Math.max(0, (availableMb - OWN_MB) / NODE_MB);
    return Optional.of(
        String.format(
            Locale.ROOT,
            "no room for %d nodes: they need %d MB, %d MB are available; at most %d nodes fit",
            nodeCount,
            neededMb,
            availableMb,
            most));
  }
}
