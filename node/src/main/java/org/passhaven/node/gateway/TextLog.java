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
import org.passhaven.node.follow.HistoryReads;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.TextRecord;
import org.passhaven.protocol.job.TextRecord.TextPart;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Texts of generations under way, in the log: the owner of a run appends what is new a few times a
 * second, a new owner reads what its predecessor left before it begins. Only those two touch a
 * run's stream. What is lost here costs time, never a promise.
 */
final class TextLog {
  private static final Logger LOG = LoggerFactory.getLogger(TextLog.class);
  private static final String STREAM_PREFIX = "texts";
  private static final int TOPICS = 16;
  private static final int MAX_BATCH_BYTES = 1_000_000;

  /** Passes any link in time; smaller batches would only cost calls. */
  private static final int MIN_BATCH_BYTES = 65_536;

  private static final int PART_OVERHEAD_BYTES = 96;
  private static final int EVENT_OVERHEAD_BYTES = 8;

  /** A record is filled to this part of what the log takes: characters may need several bytes. */
  private static final int RECORD_SHARE = 4;

  /** Silence after which a predecessor's texts are given up: what is left begins anew. */
  private static final long READ_SILENCE_MILLIS = 1_500;

  private static final long TRIM_PERIOD_MILLIS = 5_000;
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private final GatewayContext context;
  private final HistoryReads history;
  private final JobScheduler scheduler;
  private final Runnable onRead;
  private final Map<String, OwnRun> runs = new HashMap<>();

  private record Item(String job, String id) {}

  /** What this node knows of the texts of one run under one epoch. */
  private static final class OwnRun {
    final String name;
    final String stream;
    final long epoch;
    final TextTable left;
    final Map<Item, Long> firstOffsetByItem = new HashMap<>();
    long maxBatchBytes = MAX_BATCH_BYTES;
    boolean isRead;
    boolean isAppending;
    long lastNumber;
    long trimmedAtMillis;
    long trimmedTo;

    OwnRun(String name, String stream, long epoch) {
      this.name = name;
      this.stream = stream;
      this.epoch = epoch;
      this.left = new TextTable(name);
    }
  }

  /**
   * Creates the log of texts.
   *
   * @param history reads of this node's history
   * @param onRead called when a predecessor's texts were read, or are given up
   */
  TextLog(GatewayContext context, HistoryReads history, JobScheduler scheduler, Runnable onRead) {
    this.context = Objects.requireNonNull(context, "context");
    this.history = Objects.requireNonNull(history, "history");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.onRead = Objects.requireNonNull(onRead, "onRead");
  }

  private String streamOf(String run) {
    int place = Math.floorMod(HASH.hashChars(run), TOPICS * context.settings().jobPartitions());
    return STREAM_PREFIX + "-" + place % TOPICS + "." + place / TOPICS;
  }

  /**
   * What the former owners of a run left; empty while it is being read.
   *
   * @param epoch epoch under which this node owns the run
   */
  Optional<TextTable> leftOf(String run, long epoch) {
    OwnRun own = runs.get(run);
    if (own == null || own.epoch != epoch) {
      own = new OwnRun(run, streamOf(run), epoch);
      own.trimmedAtMillis = context.now();
      runs.put(run, own);
      read(own);
    }
    return own.isRead ? Optional.of(own.left) : Optional.empty();
  }

  private void read(OwnRun own) {
    long startedAtMillis = context.now();
    context
        .timers()
        .limitSilence(signOfLife -> readAll(own, 0, signOfLife), READ_SILENCE_MILLIS, "texts")
        .subscribe()
        .with(
            ignored -> endRead(own, startedAtMillis, "read"),
            failure -> endRead(own, startedAtMillis, failure.getMessage()));
  }

  /** Reads piece after piece up to the end that the first one told. */
  private Uni<Void> readAll(OwnRun own, long offset, Runnable signOfLife) {
    return history
        .readFirst(own.stream, offset)
        .chain(
            batch -> {
              signOfLife.run();
              batch.records().forEach(bytes -> fold(own, bytes));
              long next = batch.firstOffset() + batch.records().size();
              boolean isEnd = next >= batch.endOffset() || next <= offset;
              return isEnd ? Uni.createFrom().voidItem() : readAll(own, next, signOfLife);
            });
  }

  private void fold(OwnRun own, byte[] bytes) {
    try {
      own.left.apply(Codec.decode(bytes, TextRecord.class));
    } catch (CodecException e) {
      LOG.atError().addKeyValue("reason", e.getMessage()).log("texts: a record can't be read");
    }
  }

  private void endRead(OwnRun own, long startedAtMillis, String how) {
    if (own.isRead) {
      return;
    }
    own.isRead = true;
    LOG.atInfo()
        .addKeyValue("run", own.name)
        .addKeyValue("epoch", own.epoch)
        .addKeyValue("items", own.left.size())
        .addKeyValue("outcome", how)
        .addKeyValue("tookMillis", context.now() - startedAtMillis)
        .log("texts: left by the former runner");
    onRead.run();
  }

  /**
   * Appends what is new of a run's texts, unless an append is under way. Gives a result when it is
   * in the log or was given up.
   */
  Uni<Void> save(String run) {
    OwnRun own = runs.get(run);
    if (own == null || !own.isRead || own.isAppending) {
      return Uni.createFrom().voidItem();
    }
    List<TextPart> parts = limited(own, scheduler.takeUnsavedTexts(run));
    if (parts.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    own.isAppending = true;
    return context
        .log()
        .append(own.stream, encode(own, parts))
        .onItemOrFailure()
        .invoke((offset, failure) -> onAppended(own, parts, offset, failure))
        .replaceWithVoid()
        .onFailure()
        .recoverWithNull();
  }

  /** As many parts as fit into one append; the others wait for the next one. */
  private List<TextPart> limited(OwnRun own, List<TextPart> parts) {
    List<TextPart> fitting = new ArrayList<>();
    List<TextPart> others = new ArrayList<>();
    long bytes = 0;
    for (TextPart part : parts) {
      bytes += sizeBytes(part);
      (fitting.isEmpty() || bytes <= own.maxBatchBytes ? fitting : others).add(part);
    }
    scheduler.onTextsNotSaved(others);
    return fitting;
  }

  private List<byte[]> encode(OwnRun own, List<TextPart> parts) {
    List<byte[]> records = new ArrayList<>();
    List<TextPart> current = new ArrayList<>();
    long bytes = 0;
    long maxBytes = context.settings().mostRecordBytes() / RECORD_SHARE;
    List<TextPart> pieces =
        parts.stream()
            .flatMap(part -> ItemText.cut(part, maxBytes, EVENT_OVERHEAD_BYTES).stream())
            .toList();
    for (TextPart part : pieces) {
      long added = sizeBytes(part);
      if (!current.isEmpty() && bytes + added > maxBytes) {
        records.add(encodeOne(own, current));
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(part);
      bytes += added;
    }
    records.add(encodeOne(own, current));
    return records;
  }

  private static byte[] encodeOne(OwnRun own, List<TextPart> parts) {
    own.lastNumber++;
    return Codec.encode(new TextRecord(own.name, own.epoch, own.lastNumber, parts));
  }

  private static long sizeBytes(TextPart part) {
    return PART_OVERHEAD_BYTES
        + part.events().stream().mapToLong(data -> data.length() + EVENT_OVERHEAD_BYTES).sum();
  }

  private void onAppended(OwnRun own, List<TextPart> parts, Long offset, Throwable failure) {
    own.isAppending = false;
    if (failure != null) {
      // It may have been too long for the way there: the same again would be lost again.
      own.maxBatchBytes = Math.max(MIN_BATCH_BYTES, own.maxBatchBytes / 2);
      scheduler.onTextsNotSaved(parts);
      LOG.atInfo()
          .addKeyValue("run", own.name)
          .addKeyValue("parts", parts.size())
          .addKeyValue("reason", PlatformException.from(failure).getMessage())
          .log("texts: an append failed");
      return;
    }
    own.maxBatchBytes = Math.min(MAX_BATCH_BYTES, own.maxBatchBytes * 2);
    for (TextPart part : parts) {
      if (part.afterEvent() == 0) {
        own.firstOffsetByItem.put(new Item(part.job(), part.item()), offset);
      }
    }
    trim(own, offset);
  }

  /** Drops what no open item needs any more. */
  private void trim(OwnRun own, long lastOffset) {
    if (context.now() - own.trimmedAtMillis < TRIM_PERIOD_MILLIS) {
      return;
    }
    own.trimmedAtMillis = context.now();
    own.firstOffsetByItem.keySet().removeIf(item -> !scheduler.isOpen(item.job(), item.id()));
    long needed =
        own.firstOffsetByItem.values().stream().mapToLong(Long::longValue).min().orElse(lastOffset);
    if (needed <= own.trimmedTo) {
      return;
    }
    own.trimmedTo = needed;
    context
        .log()
        .trim(own.stream, needed)
        .subscribe()
        .with(
            ignored -> {},
            failure ->
                LOG.atInfo()
                    .addKeyValue("run", own.name)
                    .addKeyValue("reason", PlatformException.from(failure).getMessage())
                    .log("texts: a trim failed"));
  }

  /** Forgets what this node knew of runs that it does not own any more. */
  void retain(List<String> ownRuns) {
    runs.keySet().retainAll(ownRuns);
  }
}
