package org.passhaven.node.gateway;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.slf4j.LoggerFactory;

/** Keeps the lines of one logger from a level on, until it is closed. */
final class CapturedLog implements AutoCloseable {
  private final Logger logger;
  private final Level levelBefore;
  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

  private CapturedLog(Logger logger, Level level) {
    this.logger = logger;
    this.levelBefore = logger.getLevel();
    appender.start();
    logger.setLevel(level);
    logger.addAppender(appender);
  }

  static CapturedLog of(Class<?> type, Level level) {
    return new CapturedLog((Logger) LoggerFactory.getLogger(type), level);
  }

  /** Returns the levels of the lines with a text. */
  List<Level> levels(String text) {
    return appender.list.stream()
        .filter(event -> event.getFormattedMessage().equals(text))
        .map(ILoggingEvent::getLevel)
        .toList();
  }

  /** Returns the values of the lines with a text. */
  List<Map<String, String>> lines(String text) {
    return appender.list.stream()
        .filter(event -> event.getFormattedMessage().equals(text))
        .map(
            event ->
                event.getKeyValuePairs().stream()
                    .collect(Collectors.toMap(pair -> pair.key, pair -> "" + pair.value)))
        .toList();
  }

  @Override
  public void close() {
    logger.detachAppender(appender);
    logger.setLevel(levelBefore);
  }
}
