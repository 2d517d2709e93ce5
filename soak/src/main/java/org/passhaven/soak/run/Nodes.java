package org.passhaven.soak.run;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.passhaven.platform.standin.NodePlace;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.soak.plan.Addition;
import org.passhaven.soak.process.NodeProcess;
import org.passhaven.soak.process.ProcessSettings;
import org.passhaven.soak.process.RunLine;
import org.passhaven.soak.process.Suspension;

/** The processes of all nodes of a run. */
final class Nodes implements AutoCloseable {
  /** What a process is given of the caller's variables; from the users' page on deployment. */
  private static final List<String> PASSED = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  private static final String DEPLOYMENT = "deployment.properties";
  private static final int CONNECT_MILLIS = 500;
  private static final long POLL_MILLIS = 100;

  private final List<NodePlace> places;
  private final List<NodeProcess> processes = new ArrayList<>();
  private final long graceMillis;

  /**
   * Nodes that are not yet started.
   *
   * @param settingsFile content of a node's settings file, by its place and index
   * @param graceMillis time between the request to stop and the kill
   */
  Nodes(
      SoakSettings settings,
      List<NodePlace> places,
      BiFunction<NodePlace, Integer, byte[]> settingsFile,
      long graceMillis,
      LongSupplier nowMillis,
      Consumer<Observation> history)
      throws IOException {
    this.places = List.copyOf(places);
    this.graceMillis = graceMillis;
    RunLine line = RunLine.read(settings.repository());
    for (int i = 0; i < places.size(); i++) {
      NodePlace place = places.get(i);
      Path file = settings.folder().resolve(place.name() + ".settings.json");
      Files.write(file, settingsFile.apply(place, i));
      Suspension suspension =
          new Suspension(settings.folder().resolve(place.name() + ".suspended"));
      ProcessSettings process =
          new ProcessSettings(
              place.name(),
              settings.has(Addition.CRASHES) ? suspension.command(line.command()) : line.command(),
              settings.repository(),
              environment(file),
              settings.folder().resolve(place.name() + ".log"),
              suspension);
      processes.add(new NodeProcess(process, nowMillis, history));
    }
  }

  private static Map<String, String> environment(Path settingsFile) throws IOException {
    Map<String, String> environment = new HashMap<>();
    for (String name : PASSED) {
      String value = System.getenv(name);
      if (value != null) {
        environment.put(name, value);
      }
    }
    Properties deployment = new Properties();
    try (InputStream in = Nodes.class.getResourceAsStream(DEPLOYMENT)) {
      deployment.load(in);
    }
    environment.put(
        deployment.getProperty("settingsVariable"), settingsFile.toAbsolutePath().toString());
    return environment;
  }

  NodeProcess process(int node) {
    return processes.get(node);
  }

  int count() {
    return processes.size();
  }

  void startAll() {
    processes.forEach(NodeProcess::start);
  }

  /** Asks a node to end, and kills it after its grace. */
  void terminate(int node, Runnable whenGone) {
    NodeProcess process = processes.get(node);
    process.terminate();
    Thread waiting =
        new Thread(
            () -> {
              awaitEnd(process, graceMillis);
              whenGone.run();
            },
            "waits-for-" + process.node());
    waiting.setDaemon(true);
    waiting.start();
  }

  private static void awaitEnd(NodeProcess process, long graceMillis) {
    try {
      if (!process.awaitEnd(graceMillis)) {
        process.kill();
        process.awaitEnd(graceMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      process.kill();
    }
  }

  /** Waits until every node takes connections; false if that takes longer. */
  boolean awaitListening(long atMostMillis) throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(atMostMillis);
    for (NodePlace place : places) {
      while (!isListening(place.front())) {
        if (System.nanoTime() > untilNanos) {
          return false;
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
    return true;
  }

  private static boolean isListening(String address) {
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Kills what runs and lets nothing follow; for a soak that is interrupted. */
  void retireAll() {
    processes.forEach(NodeProcess::retire);
  }

  /** Asks all to end, and kills those that don't within their grace. */
  @Override
  public void close() {
    processes.forEach(NodeProcess::thaw);
    processes.forEach(NodeProcess::terminate);
    processes.forEach(process -> awaitEnd(process, graceMillis));
    retireAll();
  }
}
