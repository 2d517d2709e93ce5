package org.passhaven.soak.run;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.platform.standin.history.NodeObservation.MemorySeen;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.soak.process.NodeProcess;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the memory of each node at regular intervals, on a thread of its own. */
final class MemoryWatch implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(MemoryWatch.class);
  private static final long INTERVAL_MILLIS = 1_000;
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final long BYTES_PER_KIB = 1_024;
  private static final Pattern HELD =
      Pattern.compile("^passhaven_gateway_bodies_held_bytes\\S* (\\S+)$", Pattern.MULTILINE);
  private static final String BUDGET_LINE = "memory: budget of bodies";
  private static final Pattern BUDGET = Pattern.compile("\\bbytes\":\"(\\d+)\"");
  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

  private final List<NodePlace> places;
  private final Nodes nodes;
  private final Path folder;
  private final LongSupplier nowMillis;
  private final Consumer<Observation> history;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "memory-watch"));

  MemoryWatch(
      List<NodePlace> places,
      Nodes nodes,
      Path folder,
      LongSupplier nowMillis,
      Consumer<Observation> history) {
    this.places = places;
    this.nodes = nodes;
    this.folder = folder;
    this.nowMillis = nowMillis;
    this.history = history;
  }

  /** Begins to record; ends with {@link #close}. */
  void begin() {
    var unused =
        executor.scheduleWithFixedDelay(
            this::observe, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void observe() {
    for (int i = 0; i < places.size() && !executor.isShutdown(); i++) {
      try {
        observe(places.get(i), nodes.process(i));
      } catch (IOException e) {
        LOG.atDebug().addKeyValue("node", places.get(i).name()).setCause(e).log("soak: not seen");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Fails if the node is stopped or gone. */
  private void observe(NodePlace place, NodeProcess process)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + place.ready() + "/metrics"))
            .timeout(TIMEOUT)
            .build();
    String page = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    OptionalLong budget = budgetBytes(place.name());
    OptionalLong resident = residentBytes(process.pid());
    if (budget.isPresent() && resident.isPresent()) {
      history.accept(
          new MemorySeen(
              nowMillis.getAsLong(),
              place.name(),
              resident.getAsLong(),
              heldBytes(page),
              budget.getAsLong()));
    }
  }

  /** Bytes of bodies of all uses on a page of metrics. */
  static long heldBytes(String page) {
    return Math.round(
        HELD.matcher(page)
            .results()
            .mapToDouble(found -> Double.parseDouble(found.group(1)))
            .sum());
  }

  /** The newest budget in the lines of a node's log. */
  static OptionalLong budgetBytes(Stream<String> lines) {
    return lines
        .filter(line -> line.contains(BUDGET_LINE))
        .map(BUDGET::matcher)
        .filter(Matcher::find)
        .mapToLong(found -> Long.parseLong(found.group(1)))
        .reduce((first, second) -> second);
  }

  private OptionalLong budgetBytes(String node) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve(node + ".log"))) {
      return budgetBytes(lines);
    }
  }

  private static OptionalLong residentBytes(long pid) throws IOException {
    Matcher found = RESIDENT.matcher(Files.readString(Path.of("/proc/" + pid + "/status")));
    return found.find()
        ? OptionalLong.of(Long.parseLong(found.group(1)) * BYTES_PER_KIB)
        : OptionalLong.empty();
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
