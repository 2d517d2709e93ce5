package org.passhaven.node.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.core.job.Job;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends results to the log until they are read back. An append may be repeated: the first result
 * of an item counts.
 */
final class ResultWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ResultWriter.class);
  private static final int MOST_BATCH_BYTES = 1_000_000;
  private static final long RETRY_MILLIS = 100;
  private final GatewayContext context;
  private final JobLog log;
  private final Map<String, Lane> lanes = new HashMap<>();

  private record Key(String job, String item) {}

  private static final class Lane {
    final Map<Key, byte[]> waiting = new LinkedHashMap<>();
    boolean appending;
  }

  ResultWriter(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Appends a result. */
  void write(Job job, ItemFinished result) {
    JobRecord record = result;
    String stream = log.streamOf(job.submission().run());
    Lane lane = lanes.computeIfAbsent(stream, name -> new Lane());
    lane.waiting.put(new Key(result.job(), result.item()), Codec.encode(record));
    appendNext(stream, lane);
  }

  /** A result was read back, whoever wrote it. */
  void onListed(Job job, String item) {
    Lane lane = lanes.get(log.streamOf(job.submission().run()));
    if (lane != null) {
      lane.waiting.remove(new Key(job.id(), item));
    }
  }

  /** A job's results are not wanted any more. */
  void drop(String job) {
    lanes.values().forEach(lane -> lane.waiting.keySet().removeIf(key -> key.job().equals(job)));
  }

  private void appendNext(String stream, Lane lane) {
    if (lane.appending || lane.waiting.isEmpty()) {
      return;
    }
    List<Key> keys = new ArrayList<>();
    List<byte[]> batch = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<Key, byte[]> entry : lane.waiting.entrySet()) {
      if (!batch.isEmpty() && bytes + entry.getValue().length > MOST_BATCH_BYTES) {
        break;
      }
      keys.add(entry.getKey());
      batch.add(entry.getValue());
      bytes += entry.getValue().length;
    }
    lane.appending = true;
    log.append(stream, batch)
        .subscribe()
        .with(
            offset -> {
              keys.forEach(lane.waiting::remove);
              lane.appending = false;
              appendNext(stream, lane);
            },
            failure -> onFailure(stream, lane, batch.size(), failure));
  }

  private void onFailure(String stream, Lane lane, int records, Throwable failure) {
    context.metrics().appendsRepeated.increment();
    LOG.atWarn()
        .addKeyValue("stream", stream)
        .addKeyValue("records", records)
        .addKeyValue("reason", PlatformException.from(failure).getMessage())
        .log("job: results are appended again");
    context
        .timers()
        .after(
            RETRY_MILLIS,
            () -> {
              lane.appending = false;
              appendNext(stream, lane);
            });
  }
}
