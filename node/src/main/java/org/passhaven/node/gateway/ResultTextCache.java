package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.passhaven.protocol.Codec;
import org.passhaven.protocol.CodecException;
import org.passhaven.protocol.job.JobRecord.ItemFinished;
import org.passhaven.protocol.job.ResultText;
import org.passhaven.protocol.job.TextLocation;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads texts of results from the log on demand and caches the most recently used ones. Nodes
 * follow the results only, since the texts make up most of the log's volume. Not thread-safe.
 */
final class ResultTextCache {
  private static final Logger LOG = LoggerFactory.getLogger(ResultTextCache.class);

  /**
   * Cache capacity, counted as one byte per character: about ten steps of a run with 112 texts of 6
   * KB, and a sixteenth of a heap of 128 MB.
   */
  private static final long MAX_CACHED_BYTES = 8_000_000;

  /** Maximum size of one read, which takes about one second on a 2 Mbit/s link. */
  private static final int MAX_READ_BYTES = 262_144;

  private final GatewayContext context;
  private final Map<Key, ResultText> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<Key, Uni<Map<Long, ResultText>>> readsInFlight = new HashMap<>();
  private long cachedBytes;

  private record Key(String stream, long offset) {}

  ResultTextCache(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /** Caches a text and evicts the least recently used ones above the capacity. */
  void put(String stream, long offset, ResultText text) {
    if (cache.put(new Key(stream, offset), text) == null) {
      cachedBytes += text.text().length();
    }
    var eldest = cache.entrySet().iterator();
    while (cachedBytes > MAX_CACHED_BYTES && eldest.hasNext()) {
      cachedBytes -= eldest.next().getValue().text().length();
      eldest.remove();
    }
  }

  /**
   * Returns the texts of {@code results} in order. At the deadline {@code deadlineMillis} or after
   * a failed read, returns a non-empty prefix of them; fails with {@link PlatformException} if not
   * even the first is available.
   */
  Uni<List<String>> read(String stream, List<ItemFinished> results, long deadlineMillis) {
    return Uni.createFrom()
        .deferred(() -> readRemaining(stream, results, new HashMap<>(), deadlineMillis));
  }

  private Uni<List<String>> readRemaining(
      String stream,
      List<ItemFinished> results,
      Map<Long, ResultText> textsByOffset,
      long deadlineMillis) {
    List<String> available = availablePrefix(stream, results, textsByOffset);
    if (available.size() == results.size()) {
      return Uni.createFrom().item(available);
    }
    // The read itself continues after the timeout and fills the cache for later callers.
    long remainingMillis = Math.max(1, deadlineMillis - context.nowMillis());
    return context
        .timers()
        .withTimeout(
            readFromFirst(stream, results.subList(available.size(), results.size())),
            remainingMillis,
            "texts")
        .invoke(textsByOffset::putAll)
        .chain(() -> readRemaining(stream, results, textsByOffset, deadlineMillis))
        .onFailure(failure -> !available.isEmpty())
        .recoverWithItem(available);
  }

  /** Returns the texts of the longest prefix of {@code results} that is available. */
  private List<String> availablePrefix(
      String stream, List<ItemFinished> results, Map<Long, ResultText> textsByOffset) {
    List<String> available = new ArrayList<>();
    for (ItemFinished result : results) {
      if (result.text() == null) {
        available.add("");
        continue;
      }
      long offset = result.text().offset();
      ResultText text = textsByOffset.getOrDefault(offset, cache.get(new Key(stream, offset)));
      if (text == null) {
        break;
      }
      available.add(verifiedText(result, text));
    }
    return available;
  }

  private static String verifiedText(ItemFinished result, ResultText text) {
    if (!text.job().equals(result.job()) || !text.item().equals(result.item())) {
      LOG.atError()
          .addKeyValue("job", result.job())
          .addKeyValue("item", result.item())
          .addKeyValue("offset", result.text().offset())
          .addKeyValue("found", text.job() + " " + text.item())
          .log("job: a place names the text of another item");
      throw new PlatformException(
          PlatformException.Kind.NOT_RUN,
          "the text of " + result.item() + " is not at " + result.text().offset());
    }
    return text.text();
  }

  /**
   * Reads from the first missing text on, including texts of other items in between. Concurrent
   * callers that miss the same text share one read.
   */
  private Uni<Map<Long, ResultText>> readFromFirst(String stream, List<ItemFinished> missing) {
    Key first = new Key(stream, missing.get(0).text().offset());
    Uni<Map<Long, ResultText>> inFlight = readsInFlight.get(first);
    if (inFlight != null) {
      return inFlight;
    }
    Uni<Map<Long, ResultText>> started =
        context
            .log()
            .readHistory(stream, first.offset(), readSizeBytes(missing))
            .map(batch -> decodeAndCache(first, batch))
            .onTermination()
            .invoke(() -> readsInFlight.remove(first))
            .memoize()
            .indefinitely();
    readsInFlight.put(first, started);
    return started;
  }

  /** Estimates the size of a read that covers the missing texts after the first one. */
  private static int readSizeBytes(List<ItemFinished> missing) {
    TextLocation first = missing.get(0).text();
    long bytes = first.bytes();
    for (ItemFinished result : missing.subList(1, missing.size())) {
      TextLocation location = result.text();
      if (location != null && location.offset() > first.offset()) {
        long records = location.offset() - first.offset();
        bytes = Math.max(bytes, (records + 1) * Math.max(first.bytes(), location.bytes()));
      }
    }
    return (int) Math.min(MAX_READ_BYTES, bytes);
  }

  private Map<Long, ResultText> decodeAndCache(Key first, LogService.Batch batch) {
    if (batch.firstOffset() != first.offset() || batch.records().isEmpty()) {
      LOG.atError()
          .addKeyValue("stream", first.stream())
          .addKeyValue("offset", first.offset())
          .addKeyValue("first", batch.firstOffset())
          .log("job: a text is gone");
      throw new PlatformException(
          PlatformException.Kind.NOT_RUN, first.stream() + " has no text at " + first.offset());
    }
    Map<Long, ResultText> textsByOffset = new HashMap<>();
    long offset = first.offset();
    for (byte[] record : batch.records()) {
      ResultText text = decode(first.stream(), offset, record);
      textsByOffset.put(offset, text);
      put(first.stream(), offset, text);
      offset++;
    }
    return textsByOffset;
  }

  private static ResultText decode(String stream, long offset, byte[] record) {
    try {
      return Codec.decode(record, ResultText.class);
    } catch (CodecException e) {
      throw new PlatformException(
          PlatformException.Kind.NOT_RUN,
          stream + " has a text that can't be decoded at offset " + offset,
          e);
    }
  }
}
