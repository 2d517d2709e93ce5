package org.passhaven.node.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.passhaven.core.job.Job;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.job.ItemResult;
import org.passhaven.protocol.job.JobRecord;
import org.passhaven.protocol.job.ResultText;
import org.passhaven.protocol.job.TextPlace;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends results to the log until they are read back: first their texts, then the results, which
 * name the places of the texts. An append may be repeated: the first result of an item counts, and
 * a text that no result names is read by nobody.
 */
final class ResultWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ResultWriter.class);
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Passes any link in time; smaller batches would only cost calls. */
  private static final int MIN_BATCH_BYTES = 65_536;

  private static final long RETRY_MILLIS = 100;
  private final GatewayContext context;
  private final JobLog log;
  private final Map<String, Lane> lanes = new HashMap<>();

  private record Key(String job, String item) {}

  /** A result on its way to the log. */
  private static final class Pending {
    final ItemResult result;
    final ResultText resultText;
    final byte[] text;
    TextPlace place;

    Pending(ItemResult result) {
      this.result = result;
      this.resultText = new ResultText(result.job(), result.item(), result.text());
      this.text = result.text().isEmpty() ? new byte[0] : Codec.encode(resultText);
    }

    boolean needsText() {
      return text.length > 0 && place == null;
    }

    byte[] record() {
      JobRecord record =
          new JobRecord.ItemFinished(
              result.job(),
              result.item(),
              result.completed(),
              place,
              result.versions(),
              result.score());
      return Codec.encode(record);
    }
  }

  /** Results of one partition: one append at a time. */
  private static final class Lane {
    final String stream;
    final String textStream;
    final Map<Key, Pending> waiting = new LinkedHashMap<>();
    boolean appending;
    int maxBatchBytes = MAX_BATCH_BYTES;

    Lane(String stream, String textStream) {
      this.stream = stream;
      this.textStream = textStream;
    }
  }

  ResultWriter(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Appends a result. */
  void write(Job job, ItemResult result) {
    String run = job.submission().run();
    Lane lane =
        lanes.computeIfAbsent(log.streamOf(run), stream -> new Lane(stream, log.textStreamOf(run)));
    lane.waiting.put(new Key(result.job(), result.item()), new Pending(result));
    appendNext(lane);
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

  private void appendNext(Lane lane) {
    if (lane.appending || lane.waiting.isEmpty()) {
      return;
    }
    List<Pending> whole =
        lane.waiting.values().stream().filter(pending -> !pending.needsText()).toList();
    if (whole.isEmpty()) {
      appendTexts(lane, first(lane, lane.waiting.values(), pending -> pending.text.length));
    } else {
      appendResults(lane, whole);
    }
  }

  /** As many of the first ones as fit into a batch, at least one. */
  private static List<Pending> first(
      Lane lane, Iterable<Pending> waiting, ToIntFunction<Pending> bytesOf) {
    List<Pending> batch = new ArrayList<>();
    int bytes = 0;
    for (Pending pending : waiting) {
      bytes += bytesOf.applyAsInt(pending);
      if (!batch.isEmpty() && bytes > lane.maxBatchBytes) {
        break;
      }
      batch.add(pending);
    }
    return batch;
  }

  private void appendTexts(Lane lane, List<Pending> batch) {
    lane.appending = true;
    log.append(lane.textStream, batch.stream().map(pending -> pending.text).toList())
        .subscribe()
        .with(
            offset -> {
              onTextsAppended(lane, batch, offset);
              onAppended(lane);
            },
            failure -> onFailure(lane, batch.size(), failure));
  }

  private void onTextsAppended(Lane lane, List<Pending> batch, long firstOffset) {
    long offset = firstOffset;
    for (Pending pending : batch) {
      pending.place = new TextPlace(offset, pending.text.length);
      log.texts().keep(lane.textStream, offset, pending.resultText);
      offset++;
    }
  }

  private void appendResults(Lane lane, List<Pending> whole) {
    lane.appending = true;
    log.append(lane.stream, whole.stream().map(Pending::record).toList())
        .subscribe()
        .with(
            offset -> {
              lane.waiting.values().removeAll(whole);
              onAppended(lane);
            },
            failure -> onFailure(lane, whole.size(), failure));
  }

  private void onAppended(Lane lane) {
    lane.appending = false;
    lane.maxBatchBytes = Math.min(MAX_BATCH_BYTES, lane.maxBatchBytes * 2);
    appendNext(lane);
  }

  private void onFailure(Lane lane, int records, Throwable failure) {
    PlatformException known = PlatformException.from(failure);
    if (known.kind() == PlatformException.Kind.OUTCOME_UNKNOWN) {
      // It may have been too long for the way there: the same again would be lost again.
      lane.maxBatchBytes = Math.max(MIN_BATCH_BYTES, lane.maxBatchBytes / 2);
    }
    context.metrics().appendsRepeated.increment();
    LOG.atWarn()
        .addKeyValue("stream", lane.stream)
        .addKeyValue("records", records)
        .addKeyValue("reason", known.getMessage())
        .log("job: results are appended again");
    context
        .timers()
        .after(
            RETRY_MILLIS,
            () -> {
              lane.appending = false;
              appendNext(lane);
            });
  }
}
