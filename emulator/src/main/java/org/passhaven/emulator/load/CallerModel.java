package org.passhaven.emulator.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.function.IntUnaryOperator;
import org.passhaven.emulator.check.Checker;
import org.passhaven.emulator.check.Checker.Told;
import org.passhaven.emulator.model.ServiceModel;
import org.passhaven.spi.Timers;

/**
 * A portal or a terminal: lookups at a steady pace, and now and then a request that must not run
 * twice. Some of those are repeated under their key through another node, as an impatient client
 * does.
 */
public final class CallerModel {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PERCENT = 100;
  private static final long REPEAT_AFTER_MILLIS = 150;
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * Shape of a caller's load.
   *
   * @param periodMillis time between two requests
   * @param oncePercent share of requests that must not run twice
   * @param repeatPercent share of those that are sent again under their key
   */
  public record Settings(
      String name, String service, long periodMillis, int oncePercent, int repeatPercent) {}

  private final Settings settings;
  private final List<CallerApi> nodes;
  private final Timers timers;
  private final Checker checker;
  private final IntUnaryOperator randomBelow;
  private long sent;
  private boolean stopped;
  private Timers.Timer timer;

  /** Creates a caller beside the first of {@code nodes}. */
  public CallerModel(
      Settings settings,
      List<CallerApi> nodes,
      Timers timers,
      Checker checker,
      IntUnaryOperator randomBelow) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.nodes = List.copyOf(nodes);
    this.timers = Objects.requireNonNull(timers, "timers");
    this.checker = Objects.requireNonNull(checker, "checker");
    this.randomBelow = Objects.requireNonNull(randomBelow, "randomBelow");
  }

  /** Begins to send. */
  public void start() {
    timer = timers.every(settings.periodMillis(), this::sendNext);
  }

  /** Sends nothing new. */
  public void stop() {
    stopped = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void sendNext() {
    if (stopped) {
      return;
    }
    sent++;
    if (randomBelow.applyAsInt(PERCENT) >= settings.oncePercent()) {
      send(
          nodes.get(0),
          "GET",
          "/lookup/" + sent + "?nonce=" + settings.name() + "-" + sent,
          new byte[0],
          "");
      return;
    }
    String path = Checker.ONCE_MARK + settings.name() + "-" + sent;
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    boolean withKey =
        randomBelow.applyAsInt(PERCENT) < PERCENT / 2
            || randomBelow.applyAsInt(PERCENT) < settings.repeatPercent();
    String key = withKey ? settings.name() + "-" + sent : "";
    send(nodes.get(0), "POST", path, body, key);
    if (withKey && randomBelow.applyAsInt(PERCENT) < settings.repeatPercent()) {
      CallerApi other = nodes.get(randomBelow.applyAsInt(nodes.size()));
      timers.after(REPEAT_AFTER_MILLIS, () -> send(other, "POST", path, body, key));
    }
  }

  private void send(CallerApi node, String method, String path, byte[] body, String key) {
    long from = timers.nowMillis();
    checker.onRequestSent(path);
    node.send(settings.service(), method, path, body, key)
        .subscribe()
        .with(
            word -> told(path, body, word, from),
            failure ->
                told(path, body, new CallerApi.Word(Told.OUTCOME_UNKNOWN, new byte[0]), from));
  }

  private void told(String path, byte[] body, CallerApi.Word word, long from) {
    boolean own = word.told() == Told.ANSWERED && isOwn(path, body, word.body());
    checker.onRequestTold(path, word.told(), own, (timers.nowMillis() - from) * MICROS_PER_MILLI);
  }

  private static boolean isOwn(String path, byte[] body, byte[] answer) {
    try {
      ServiceModel.Answer read = MAPPER.readValue(answer, ServiceModel.Answer.class);
      return path.equals(read.path()) && read.bodyDigest() == java.util.Arrays.hashCode(body);
    } catch (IOException e) {
      return false;
    }
  }
}
