package org.passhaven.emulator.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.passhaven.spi.LogService.Batch;

/** The platform's append-only log: streams of records with offsets. Not thread-safe. */
public final class LogModel {
  private final Map<String, Stream> streams = new HashMap<>();
  private long appendedRecords;
  private long appendedBytes;

  /** Appends records; gives the offset of the first. */
  public long append(String stream, List<byte[]> records) {
    Stream target = streams.computeIfAbsent(stream, ignored -> new Stream());
    long first = target.firstOffset + target.records.size();
    target.records.addAll(records);
    appendedRecords += records.size();
    records.forEach(bytes -> appendedBytes += bytes.length);
    List<Runnable> waiting = new ArrayList<>(target.waiting);
    target.waiting.clear();
    waiting.forEach(Runnable::run);
    return first;
  }

  /** Reads from an offset; a negative one asks for the last record. */
  public Batch read(String stream, long fromOffset, int most) {
    Stream source = streams.get(stream);
    if (source == null) {
      return new Batch(Math.max(0, fromOffset), List.of(), 0);
    }
    long end = source.firstOffset + source.records.size();
    long from = Math.max(fromOffset < 0 ? end - 1 : fromOffset, source.firstOffset);
    int first = (int) Math.min(from - source.firstOffset, source.records.size());
    int last = Math.min(source.records.size(), first + most);
    return new Batch(from, source.records.subList(first, last), end);
  }

  /** Whether a read from this offset would give a record. */
  public boolean hasRecord(String stream, long fromOffset) {
    Stream source = streams.get(stream);
    return source != null && fromOffset < source.firstOffset + source.records.size();
  }

  /** Runs {@code task} once at the next append to a stream. */
  public void onNextAppend(String stream, Runnable task) {
    streams.computeIfAbsent(stream, ignored -> new Stream()).waiting.add(task);
  }

  /** Drops all records before an offset, as the platform may do with old ones. */
  public void truncate(String stream, long beforeOffset) {
    Stream target = streams.get(stream);
    int drop =
        target == null
            ? 0
            : (int) Math.min(target.records.size(), beforeOffset - target.firstOffset);
    if (drop > 0) {
      target.records.subList(0, drop).clear();
      target.firstOffset += drop;
    }
  }

  /** Records appended since the beginning. */
  public long appendedRecords() {
    return appendedRecords;
  }

  /** Bytes appended since the beginning. */
  public long appendedBytes() {
    return appendedBytes;
  }

  private static final class Stream {
    final List<byte[]> records = new ArrayList<>();
    final List<Runnable> waiting = new ArrayList<>();
    long firstOffset;
  }
}
