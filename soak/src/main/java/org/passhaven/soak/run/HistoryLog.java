package org.passhaven.soak.run;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.passhaven.platform.standin.history.Hashes;
import org.passhaven.platform.standin.history.JobObservation.Result;
import org.passhaven.platform.standin.history.JobObservation.ResultsRead;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.ServerObservation.EventMade;
import org.passhaven.soak.check.TextDigest;

/**
 * The history seen from outside: one JSON line an observation, and in memory what the checks need.
 * Texts of results are kept as their digests. Safe for use by several threads.
 */
public final class HistoryLog implements Consumer<Observation>, AutoCloseable {
  private final int eventCharacters;
  private final BufferedWriter writer;
  private final List<Observation> observations = new ArrayList<>();
  private final Map<String, String> digests = new HashMap<>();
  private final Map<String, Long> counts = new HashMap<>();
  private boolean isClosed;

  /** A history that is written to a file. */
  public HistoryLog(Path file, int eventCharacters) throws IOException {
    this.eventCharacters = eventCharacters;
    this.writer = Files.newBufferedWriter(file);
  }

  @Override
  public synchronized void accept(Observation observation) {
    if (isClosed) {
      return;
    }
    Observation slim = observation instanceof ResultsRead read ? slim(read) : observation;
    counts.merge(slim.getClass().getSimpleName(), 1L, Long::sum);
    // Servers make many events; what they were is told by the texts.
    if (!(slim instanceof EventMade)) {
      observations.add(slim);
      write(slim);
    }
  }

  /** All that was seen so far, by time. */
  public synchronized List<Observation> sorted() {
    List<Observation> sorted = new ArrayList<>(observations);
    sorted.sort(Comparator.comparingLong(Observation::atMillis));
    return sorted;
  }

  /** How often each kind was seen so far, by the simple name of its type. */
  public synchronized Map<String, Long> counts() {
    return Map.copyOf(counts);
  }

  /** Takes nothing more. */
  @Override
  public synchronized void close() {
    isClosed = true;
    try {
      writer.close();
    } catch (IOException e) {
      throw new UncheckedIOException("the history can't be written", e);
    }
  }

  private void write(Observation observation) {
    try {
      writer.write(HistoryFormat.write(observation));
      writer.newLine();
    } catch (IOException e) {
      throw new UncheckedIOException("the history can't be written", e);
    }
  }

  private ResultsRead slim(ResultsRead read) {
    return new ResultsRead(
        read.atMillis(),
        read.sentAtMillis(),
        read.node(),
        read.job(),
        read.from(),
        read.total(),
        read.next(),
        read.results().stream().map(this::slim).toList());
  }

  private Result slim(Result result) {
    String key = result.item() + "/" + Hashes.of(result.text());
    String digest =
        digests.computeIfAbsent(
            key, ignored -> TextDigest.of(result.item(), result.text(), eventCharacters).format());
    return new Result(
        result.position(),
        result.item(),
        result.completed(),
        digest,
        result.versions(),
        result.score());
  }
}
