package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.passhaven.core.job.ItemText;
import org.passhaven.core.job.JobScheduler;
import org.passhaven.core.job.TextTable;
import org.passhaven.node.follow.HistoryReadQueue;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the partial texts of running generations in the log: the owner of a run appends new text
 * periodically, and a new owner reads its predecessor's texts before it starts. Lost texts are
 * generated again. Not thread-safe.
 */
final class PartialTextLog {
  private static final Logger LOG = LoggerFactory.getLogger(PartialTextLog.class);
  private static final String STREAM_PREFIX = "texts";
  private static final int TOPIC_COUNT = 16;
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Small enough to pass slow links before the append times out. */
  private static final int MIN_BATCH_BYTES = 65_536;

  private static final int PART_OVERHEAD_BYTES = 96;
  private static final int EVENT_OVERHEAD_BYTES = 8;

  /** Divides the record size limit, since a character may take several bytes. */
  private static final int RECORD_FILL_DIVISOR = 4;

  /** Time without an answer after which a predecessor's texts are abandoned. */
  private static final long READ_SILENCE_TIMEOUT_MILLIS = 1_500;

  private static final long TRIM_PERIOD_MILLIS = 5_000;
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private final GatewayContext context;
  private final HistoryReadQueue history;
  private final JobScheduler scheduler;
  private final Runnable onRead;
  private final Map<String, OwnedRun> runs = new HashMap<>();

  private record Item(String job, String id) {}

  /** State of the texts of one run under one epoch of this node's ownership. */
  private static final class OwnedRun {
    final String run;
    final String stream;
    final long epoch;
    final TextTable inheritedTexts;
    final Map<Item, Long> firstOffsetByItem = new HashMap<>();
    long maxBatchBytes = MAX_BATCH_BYTES;
    boolean isRead;
    boolean isAppending;
    long lastSequenceNumber;
    long trimmedAtMillis;
    long trimmedToOffset;

    OwnedRun(String run, String stream, long epoch) {
      this.run = run;
      this.stream = stream;
      this.epoch = epoch;
      this.inheritedTexts = new TextTable(run);
    }
  }

  /**
   * Creates the log of partial texts.
   *
   * @param history shared reads of log history
   * @param onRead called when a predecessor's texts were read or abandoned
   */
  PartialTextLog(
      GatewayContext context, HistoryReadQueue history, JobScheduler scheduler, Runnable onRead) {
    this.context = Objects.requireNonNull(context, "context");
    this.history = Objects.requireNonNull(history, "history");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.onRead = Objects.requireNonNull(onRead, "onRead");
  }

  private String streamOf(String run) {
    int index =
        Math.floorMod(HASH.hashChars(run), TOPIC_COUNT * context.settings().jobPartitions());
    return STREAM_PREFIX + "-" + index % TOPIC_COUNT + "." + index / TOPIC_COUNT;
  }

  /**
   * Returns the texts that former owners of a run saved; empty while they are being read.
   *
   * @param epoch epoch under which this node owns the run
   */
  Optional<TextTable> inheritedTextsOf(String run, long epoch) {
    OwnedRun owned = runs.get(run);
    if (owned == null || owned.epoch != epoch) {
      owned = new OwnedRun(run, streamOf(run), epoch);
      owned.trimmedAtMillis = context.nowMillis();
      runs.put(run, owned);
      read(owned);
    }
    return owned.isRead ? Optional.of(owned.inheritedTexts) : Optional.empty();
  }

  private void read(OwnedRun owned) {
    long startedAtMillis = context.nowMillis();
    context
        .timers()
        .withIdleTimeout(
            onProgress -> readAll(owned, 0, onProgress), READ_SILENCE_TIMEOUT_MILLIS, "texts")
        .subscribe()
        .with(
            ignored -> finishRead(owned, startedAtMillis, "read"),
            failure -> finishRead(owned, startedAtMillis, failure.getMessage()));
  }

  /** Reads batch after batch up to the end of the stream. */
  private Uni<Void> readAll(OwnedRun owned, long offset, Runnable onProgress) {
    return history
        .readWithPriority(owned.stream, offset)
        .chain(
            batch -> {
              onProgress.run();
              batch.records().forEach(bytes -> applyRecord(owned, bytes));
              long next = batch.firstOffset() + batch.records().size();
              boolean isEnd = next >= batch.endOffset() || next <= offset;
              return isEnd ? Uni.createFrom().voidItem() : readAll(owned, next, onProgress);
            });
  }

  private void applyRecord(OwnedRun owned, byte[] bytes) {
    try {
      owned.inheritedTexts.apply(Codec.decode(bytes, TextRecord.class));
    } catch (CodecException e) {
      LOG.atError().addKeyValue("reason", e.getMessage()).log("texts: a record can't be read");
    }
  }

  private void finishRead(OwnedRun owned, long startedAtMillis, String outcome) {
    if (owned.isRead) {
      return;
    }
    owned.isRead = true;
    LOG.atInfo()
        .addKeyValue("run", owned.run)
        .addKeyValue("epoch", owned.epoch)
        .addKeyValue("items", owned.inheritedTexts.size())
        .addKeyValue("outcome", outcome)
        .addKeyValue("tookMillis", context.nowMillis() - startedAtMillis)
        .log("texts: left by the former runner");
    onRead.run();
  }

  /**
   * Appends the unsaved texts of a run, unless an append is in flight. Completes when the append
   * succeeded or failed.
   */
  Uni<Void> save(String run) {
    OwnedRun owned = runs.get(run);
    if (owned == null || !owned.isRead || owned.isAppending) {
      return Uni.createFrom().voidItem();
    }
    List<TextPart> parts = selectBatch(owned, scheduler.takeUnsavedTexts(run));
    if (parts.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    owned.isAppending = true;
    return context
        .log()
        .append(owned.stream, encode(owned, parts))
        .onItemOrFailure()
        .invoke((offset, failure) -> onAppended(owned, parts, offset, failure))
        .replaceWithVoid()
        .onFailure()
        .recoverWithNull();
  }

  /** Returns the parts that fit into one append and hands the others back to the scheduler. */
  private List<TextPart> selectBatch(OwnedRun owned, List<TextPart> parts) {
    List<TextPart> selected = new ArrayList<>();
    List<TextPart> deferred = new ArrayList<>();
    long bytes = 0;
    for (TextPart part : parts) {
      bytes += sizeBytes(part);
      (selected.isEmpty() || bytes <= owned.maxBatchBytes ? selected : deferred).add(part);
    }
    scheduler.onTextsNotSaved(deferred);
    return selected;
  }

  private List<byte[]> encode(OwnedRun owned, List<TextPart> parts) {
    List<byte[]> records = new ArrayList<>();
    List<TextPart> current = new ArrayList<>();
    long bytes = 0;
    long maxBytes = context.settings().maxRecordBytes() / RECORD_FILL_DIVISOR;
    List<TextPart> pieces =
        parts.stream()
            .flatMap(part -> ItemText.split(part, maxBytes, EVENT_OVERHEAD_BYTES).stream())
            .toList();
    for (TextPart part : pieces) {
      long partBytes = sizeBytes(part);
      if (!current.isEmpty() && bytes + partBytes > maxBytes) {
        records.add(encodeRecord(owned, current));
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(part);
      bytes += partBytes;
    }
    records.add(encodeRecord(owned, current));
    return records;
  }

  private static byte[] encodeRecord(OwnedRun owned, List<TextPart> parts) {
    owned.lastSequenceNumber++;
    return Codec.encode(new TextRecord(owned.run, owned.epoch, owned.lastSequenceNumber, parts));
  }

  private static long sizeBytes(TextPart part) {
    return PART_OVERHEAD_BYTES
        + part.events().stream().mapToLong(data -> data.length() + EVENT_OVERHEAD_BYTES).sum();
  }

  private void onAppended(OwnedRun owned, List<TextPart> parts, Long offset, Throwable failure) {
    owned.isAppending = false;
    if (failure != null) {
      // The call may have timed out because of its size: retry with a smaller batch.
      owned.maxBatchBytes = Math.max(MIN_BATCH_BYTES, owned.maxBatchBytes / 2);
      scheduler.onTextsNotSaved(parts);
      LOG.atInfo()
          .addKeyValue("run", owned.run)
          .addKeyValue("parts", parts.size())
          .addKeyValue("reason", PlatformException.from(failure).getMessage())
          .log("texts: an append failed");
      return;
    }
    owned.maxBatchBytes = Math.min(MAX_BATCH_BYTES, owned.maxBatchBytes * 2);
    for (TextPart part : parts) {
      if (part.afterEvent() == 0) {
        owned.firstOffsetByItem.put(new Item(part.job(), part.item()), offset);
      }
    }
    trim(owned, offset);
  }

  /** Trims the stream up to the first record that an open item needs. */
  private void trim(OwnedRun owned, long lastOffset) {
    if (context.nowMillis() - owned.trimmedAtMillis < TRIM_PERIOD_MILLIS) {
      return;
    }
    owned.trimmedAtMillis = context.nowMillis();
    owned.firstOffsetByItem.keySet().removeIf(item -> !scheduler.isOpen(item.job(), item.id()));
    long neededOffset =
        owned.firstOffsetByItem.values().stream()
            .mapToLong(Long::longValue)
            .min()
            .orElse(lastOffset);
    if (neededOffset <= owned.trimmedToOffset) {
      return;
    }
    owned.trimmedToOffset = neededOffset;
    context
        .log()
        .trim(owned.stream, neededOffset)
        .subscribe()
        .with(
            ignored -> {},
            failure ->
                LOG.atInfo()
                    .addKeyValue("run", owned.run)
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("texts: a trim failed"));
  }

  /** Discards the state of runs that this node no longer owns. */
  void retain(List<String> ownRuns) {
    runs.keySet().retainAll(ownRuns);
  }
}
