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
import org.passhaven.protocol.job.TextLocation;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends results to the log and retries until they are acknowledged or read back: first their
 * texts, then the results, which refer to the texts by offset. Repeated appends are harmless: the
 * first result of an item counts, and unreferenced texts are never read. Not thread-safe.
 */
final class ResultWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ResultWriter.class);
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Small enough to pass slow links before the append times out. */
  private static final int MIN_BATCH_BYTES = 65_536;

  private static final long RETRY_MILLIS = 100;
  private final GatewayContext context;
  private final JobLog log;
  private final Map<String, PartitionQueue> queuesByStream = new HashMap<>();

  private record Key(String job, String item) {}

  /** A result that is not yet in the log. */
  private static final class PendingResult {
    final ItemResult result;
    final ResultText resultText;
    final byte[] encodedText;
    TextLocation textLocation;

    PendingResult(ItemResult result) {
      this.result = result;
      this.resultText = new ResultText(result.job(), result.item(), result.text());
      this.encodedText = result.text().isEmpty() ? new byte[0] : Codec.encode(resultText);
    }

    boolean needsTextAppend() {
      return encodedText.length > 0 && textLocation == null;
    }

    byte[] record() {
      JobRecord record =
          new JobRecord.ItemFinished(
              result.job(),
              result.item(),
              result.completed(),
              textLocation,
              result.versions(),
              result.score());
      return Codec.encode(record);
    }
  }

  /** Pending results of one partition; at most one append is in flight. */
  private static final class PartitionQueue {
    final String stream;
    final String textStream;
    final Map<Key, PendingResult> pending = new LinkedHashMap<>();
    boolean isAppending;
    int maxBatchBytes = MAX_BATCH_BYTES;

    PartitionQueue(String stream, String textStream) {
      this.stream = stream;
      this.textStream = textStream;
    }
  }

  ResultWriter(GatewayContext context, JobLog log) {
    this.context = Objects.requireNonNull(context, "context");
    this.log = Objects.requireNonNull(log, "log");
  }

  /**
   * Queues a result of a job for appending. A result whose text exceeds a record is not queued: the
   * log would reject each append that contains it, so it would hold up all others.
   */
  void write(Job job, ItemResult result) {
    PendingResult pending = new PendingResult(result);
    if (pending.encodedText.length > context.settings().maxRecordBytes()) {
      LOG.atError()
          .addKeyValue("job", result.job())
          .addKeyValue("item", result.item())
          .addKeyValue("bytes", pending.encodedText.length)
          .addKeyValue("maxBytes", context.settings().maxRecordBytes())
          .log("job: a text exceeds a log record, so its result can't be listed");
      return;
    }
    String run = job.submission().run();
    PartitionQueue queue =
        queuesByStream.computeIfAbsent(
            log.streamOf(run), stream -> new PartitionQueue(stream, log.textStreamOf(run)));
    queue.pending.put(new Key(result.job(), result.item()), pending);
    appendNext(queue);
  }

  /** Removes a result that was read back from the log, whichever node appended it. */
  void onResultRecorded(Job job, String item) {
    PartitionQueue queue = queuesByStream.get(log.streamOf(job.submission().run()));
    if (queue != null) {
      queue.pending.remove(new Key(job.id(), item));
    }
  }

  /** Discards the pending results of a job. */
  void drop(String job) {
    queuesByStream
        .values()
        .forEach(queue -> queue.pending.keySet().removeIf(key -> key.job().equals(job)));
  }

  private void appendNext(PartitionQueue queue) {
    if (queue.isAppending || queue.pending.isEmpty()) {
      return;
    }
    List<PendingResult> ready =
        queue.pending.values().stream().filter(pending -> !pending.needsTextAppend()).toList();
    if (ready.isEmpty()) {
      appendTexts(
          queue, nextBatch(queue, queue.pending.values(), pending -> pending.encodedText.length));
    } else {
      appendResults(queue, ready);
    }
  }

  /** Returns the first results that fit into a batch, at least one. */
  private static List<PendingResult> nextBatch(
      PartitionQueue queue,
      Iterable<PendingResult> candidates,
      ToIntFunction<PendingResult> bytesOf) {
    List<PendingResult> batch = new ArrayList<>();
    int bytes = 0;
    for (PendingResult pending : candidates) {
      bytes += bytesOf.applyAsInt(pending);
      if (!batch.isEmpty() && bytes > queue.maxBatchBytes) {
        break;
      }
      batch.add(pending);
    }
    return batch;
  }

  private void appendTexts(PartitionQueue queue, List<PendingResult> batch) {
    queue.isAppending = true;
    log.append(queue.textStream, batch.stream().map(pending -> pending.encodedText).toList())
        .subscribe()
        .with(
            offset -> {
              onTextsAppended(queue, batch, offset);
              onAppended(queue);
            },
            failure -> onFailure(queue, batch.size(), failure));
  }

  private void onTextsAppended(PartitionQueue queue, List<PendingResult> batch, long firstOffset) {
    long offset = firstOffset;
    for (PendingResult pending : batch) {
      pending.textLocation = new TextLocation(offset, pending.encodedText.length);
      log.texts().put(queue.textStream, offset, pending.resultText);
      offset++;
    }
  }

  private void appendResults(PartitionQueue queue, List<PendingResult> ready) {
    queue.isAppending = true;
    log.append(queue.stream, ready.stream().map(PendingResult::record).toList())
        .subscribe()
        .with(
            offset -> {
              queue.pending.values().removeAll(ready);
              onAppended(queue);
            },
            failure -> onFailure(queue, ready.size(), failure));
  }

  private void onAppended(PartitionQueue queue) {
    queue.isAppending = false;
    queue.maxBatchBytes = Math.min(MAX_BATCH_BYTES, queue.maxBatchBytes * 2);
    appendNext(queue);
  }

  private void onFailure(PartitionQueue queue, int records, Throwable failure) {
    PlatformException platformFailure = PlatformException.from(failure);
    if (platformFailure.kind() == PlatformException.Kind.OUTCOME_UNKNOWN) {
      // The call may have timed out because of its size: retry with a smaller batch.
      queue.maxBatchBytes = Math.max(MIN_BATCH_BYTES, queue.maxBatchBytes / 2);
    }
    context.metrics().appendsRetried.increment();
    LOG.atWarn()
        .addKeyValue("stream", queue.stream)
        .addKeyValue("records", records)
        .addKeyValue("reason", platformFailure.getMessage())
        .log("job: results are appended again");
    context
        .timers()
        .after(
            RETRY_MILLIS,
            () -> {
              queue.isAppending = false;
              appendNext(queue);
            });
  }
}
