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
import org.passhaven.protocol.job.TextPlace;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Texts of results, read from the log when a caller asks for them. Every node follows the results,
 * none follows their texts: four fifths of the bytes of a day. What was last used stays in memory.
 */
final class ResultTexts {
  private static final Logger LOG = LoggerFactory.getLogger(ResultTexts.class);

  /** Some ten steps of the largest known run (112 texts of 6 KB), a sixteenth of the heap. */
  private static final long MAX_KEPT_BYTES = 8_000_000;

  /** As for history: a second's worth of a 2 Mbit/s link. */
  private static final int PIECE_BYTES = 262_144;

  private final GatewayContext context;
  private final Map<Key, ResultText> kept = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<Key, Uni<Map<Long, ResultText>>> underWay = new HashMap<>();
  private long keptBytes;

  private record Key(String stream, long offset) {}

  ResultTexts(GatewayContext context) {
    this.context = Objects.requireNonNull(context, "context");
  }

  /** Keeps a text that was just written or read. */
  void keep(String stream, long offset, ResultText text) {
    if (kept.put(new Key(stream, offset), text) == null) {
      keptBytes += text.text().length();
    }
    var eldest = kept.entrySet().iterator();
    while (keptBytes > MAX_KEPT_BYTES && eldest.hasNext()) {
      keptBytes -= eldest.next().getValue().text().length();
      eldest.remove();
    }
  }

  /**
   * Texts of the first ones of {@code wanted}, in order: of all of them, or of at least one where
   * the time is over. Fails with {@link PlatformException} if not even the first is there by then.
   */
  Uni<List<String>> read(String stream, List<ItemFinished> wanted, long untilMillis) {
    return Uni.createFrom().deferred(() -> readOn(stream, wanted, new HashMap<>(), untilMillis));
  }

  private Uni<List<String>> readOn(
      String stream, List<ItemFinished> wanted, Map<Long, ResultText> read, long untilMillis) {
    List<String> known = known(stream, wanted, read);
    if (known.size() == wanted.size()) {
      return Uni.createFrom().item(known);
    }
    // The read itself goes on past the time, for whoever asks next.
    long leftMillis = Math.max(1, untilMillis - context.now());
    return context
        .timers()
        .limit(piece(stream, wanted.subList(known.size(), wanted.size())), leftMillis, "texts")
        .invoke(read::putAll)
        .chain(() -> readOn(stream, wanted, read, untilMillis))
        .onFailure(failure -> !known.isEmpty())
        .recoverWithItem(known);
  }

  /** The longest beginning of {@code wanted} of which the texts are known. */
  private List<String> known(String stream, List<ItemFinished> wanted, Map<Long, ResultText> read) {
    List<String> known = new ArrayList<>();
    for (ItemFinished result : wanted) {
      if (result.text() == null) {
        known.add("");
        continue;
      }
      long offset = result.text().offset();
      ResultText text = read.getOrDefault(offset, kept.get(new Key(stream, offset)));
      if (text == null) {
        break;
      }
      known.add(checked(result, text));
    }
    return known;
  }

  private static String checked(ItemFinished result, ResultText text) {
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
   * Reads from the first missing text on; texts of others that lie between come along. Callers that
   * miss the same text share one read.
   */
  private Uni<Map<Long, ResultText>> piece(String stream, List<ItemFinished> missing) {
    Key first = new Key(stream, missing.get(0).text().offset());
    Uni<Map<Long, ResultText>> known = underWay.get(first);
    if (known != null) {
      return known;
    }
    Uni<Map<Long, ResultText>> begun =
        context
            .log()
            .readHistory(stream, first.offset(), pieceBytes(missing))
            .map(batch -> texts(first, batch))
            .onTermination()
            .invoke(() -> underWay.remove(first))
            .memoize()
            .indefinitely();
    underWay.put(first, begun);
    return begun;
  }

  /** Enough for what is missing and lies behind the first one, if the texts between are alike. */
  private static int pieceBytes(List<ItemFinished> missing) {
    TextPlace first = missing.get(0).text();
    long bytes = first.bytes();
    for (ItemFinished result : missing.subList(1, missing.size())) {
      TextPlace place = result.text();
      if (place != null && place.offset() > first.offset()) {
        long records = place.offset() - first.offset();
        bytes = Math.max(bytes, (records + 1) * Math.max(first.bytes(), place.bytes()));
      }
    }
    return (int) Math.min(PIECE_BYTES, bytes);
  }

  private Map<Long, ResultText> texts(Key first, LogService.Batch batch) {
    if (batch.firstOffset() != first.offset() || batch.records().isEmpty()) {
      LOG.atError()
          .addKeyValue("stream", first.stream())
          .addKeyValue("offset", first.offset())
          .addKeyValue("first", batch.firstOffset())
          .log("job: a text is gone");
      throw new PlatformException(
          PlatformException.Kind.NOT_RUN, first.stream() + " has no text at " + first.offset());
    }
    Map<Long, ResultText> read = new HashMap<>();
    long offset = first.offset();
    for (byte[] record : batch.records()) {
      ResultText text = decode(first.stream(), offset, record);
      read.put(offset, text);
      keep(first.stream(), offset, text);
      offset++;
    }
    return read;
  }

  private static ResultText decode(String stream, long offset, byte[] record) {
    try {
      return Codec.decode(record, ResultText.class);
    } catch (CodecException e) {
      throw new PlatformException(
          PlatformException.Kind.NOT_RUN, stream + " has no text that can be read at " + offset, e);
    }
  }
}
