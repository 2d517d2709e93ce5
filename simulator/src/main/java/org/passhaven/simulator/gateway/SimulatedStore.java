package org.passhaven.simulator.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.passhaven.simulator.time.SimulatedProcess;
import org.passhaven.simulator.time.VirtualTime;
import org.passhaven.spi.LogService;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.PlatformException.Kind;
import org.passhaven.spi.TableService;

/**
 * The store in virtual time: streams and tables. It may be down (refusing or silent), slow, lose
 * the answers of writes that it does at once or seconds later, and forget history.
 */
public final class SimulatedStore {
  private static final long ONE_WAY_MICROS = 500;
  private static final long WRITE_MICROS = 4_000;
  private static final long CALL_LIMIT_MILLIS = 1_200;
  private static final long LATE_FROM_MILLIS = 1_000;
  private static final int LATE_SPREAD_MILLIS = 5_000;

  /** What one read gives at most, as the users' store does unless it is asked for less. */
  private static final int MAX_READ_BYTES = 1_048_576;

  /** How the store behaves. */
  public enum Manner {
    SOUND,
    REFUSES,
    SILENT,
    LOSES_ANSWERS,
    DOES_LATE
  }

  /** What a read asks for. */
  private record Wanted(String stream, long from, int maxRecords, int maxBytes) {}

  private static final class Stream {
    final List<byte[]> records = new ArrayList<>();
    final List<Runnable> waiting = new ArrayList<>();
    long first;
  }

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Map<String, Stream> streams = new HashMap<>();
  private final Map<String, NavigableMap<String, byte[]>> tables = new HashMap<>();
  private Manner manner = Manner.SOUND;
  private double share = 1;
  private long slowness = 1;
  private Predicate<String> silentStreams = name -> false;
  private Predicate<String> refusedNodes = name -> false;
  private SimulatedPipe bandwidth;
  private long readBytes;
  private final Map<String, Long> callsByStream = new TreeMap<>();

  /** Creates an empty store. */
  public SimulatedStore(VirtualTime time, UniformRandomProvider random) {
    this.time = time;
    this.random = random;
  }

  /** Sets how calls end; only a share of the writes if it loses answers. */
  public void setManner(Manner newManner, double newShare) {
    manner = newManner;
    share = newShare;
  }

  /** Makes some streams silent while the others are served; {@code table/NAME} names a table. */
  public void setSilentStreams(Predicate<String> streams) {
    silentStreams = streams;
  }

  /** Refuses the calls of some nodes while the others are served. */
  public void setRefusedNodes(Predicate<String> nodes) {
    refusedNodes = nodes;
  }

  /** Makes each call take so many times as long. */
  public void setSlowness(long times) {
    slowness = times;
  }

  /** Bounds what all reads of streams together give; without a bound they take no time. */
  public void setReadBandwidth(long bytesPerMilli) {
    bandwidth = new SimulatedPipe(time, bytesPerMilli);
  }

  /** Bytes of records that reads were given, whether they waited for them or not. */
  public long readBytes() {
    return readBytes;
  }

  /** Calls that were begun, by stream; {@code table/NAME} names a table. */
  public Map<String, Long> callsByStream() {
    return Map.copyOf(callsByStream);
  }

  /** Fills a stream, as appends of earlier processes would have. */
  public void fill(String name, List<byte[]> records) {
    add(name, records);
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, key -> new Stream());
  }

  /** Writes a document, as the operator or a server does. */
  public void put(String table, String key, byte[] value) {
    if (value == null) {
      table(table).remove(key);
    } else {
      table(table).put(key, value);
    }
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] record = new byte[1 + keyBytes.length + (value == null ? 0 : value.length)];
    record[0] = (byte) keyBytes.length;
    System.arraycopy(keyBytes, 0, record, 1, keyBytes.length);
    if (value != null) {
      System.arraycopy(value, 0, record, 1 + keyBytes.length, value.length);
    }
    add("table/" + table, List.of(record));
  }

  private NavigableMap<String, byte[]> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  /** Forgets the history of all tables: followers have to list them anew. */
  public void forgetTables() {
    streams.forEach(
        (name, stream) -> {
          if (name.startsWith("table/")) {
            stream.first = stream.records.size();
            wake(stream);
          }
        });
  }

  private long add(String name, List<byte[]> records) {
    Stream stream = stream(name);
    long offset = stream.records.size();
    stream.records.addAll(records);
    wake(stream);
    return offset;
  }

  private static void wake(Stream stream) {
    List<Runnable> woken = List.copyOf(stream.waiting);
    stream.waiting.clear();
    woken.forEach(Runnable::run);
  }

  /** The store as one process reaches it. */
  public Client clientOf(SimulatedProcess process, BooleanSupplier isCut) {
    return new Client(process, isCut, null);
  }

  /** The store as one process reaches it over a link of its own bandwidth. */
  public Client clientOf(SimulatedProcess process, long linkBytesPerMilli) {
    return new Client(process, () -> false, new SimulatedPipe(time, linkBytesPerMilli));
  }

  /** One process's way to the store. */
  public final class Client implements LogService, TableService {
    private final SimulatedProcess process;
    private final BooleanSupplier isCut;
    private final long generation;
    private final SimulatedPipe link;

    Client(SimulatedProcess process, BooleanSupplier isCut, SimulatedPipe link) {
      this.process = process;
      this.isCut = isCut;
      this.link = link;
      this.generation = process.generation();
    }

    private void deliver(Runnable task) {
      time.after(ONE_WAY_MICROS, () -> process.execute(generation, task));
    }

    private boolean isSilent(String stream) {
      return manner == Manner.SILENT || isCut.getAsBoolean() || silentStreams.test(stream);
    }

    private boolean isRefused() {
      return manner == Manner.REFUSES || refusedNodes.test(process.name());
    }

    /** Begins a call; {@code serve} runs at the store. */
    private <T> Uni<T> call(
        String stream, long limitMillis, Consumer<UniEmitter<? super T>> serve) {
      return call(stream, limitMillis, (emitter, signOfLife) -> serve.accept(emitter));
    }

    private <T> Uni<T> call(
        String stream, long silenceMillis, BiConsumer<UniEmitter<? super T>, Runnable> serve) {
      return process
          .timers()
          .withIdleTimeout(signOfLife -> begin(stream, signOfLife, serve), silenceMillis, "store");
    }

    private <T> Uni<T> begin(
        String stream, Runnable signOfLife, BiConsumer<UniEmitter<? super T>, Runnable> serve) {
      return Uni.createFrom()
          .emitter(
              emitter -> {
                callsByStream.merge(stream, 1L, Long::sum);
                if (isSilent(stream)) {
                  return;
                }
                if (isRefused()) {
                  deliver(() -> emitter.fail(new PlatformException(Kind.NOT_RUN, "busy")));
                  return;
                }
                time.after(ONE_WAY_MICROS, () -> serve.accept(emitter, signOfLife));
              });
    }

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return call(
          stream, CALL_LIMIT_MILLIS, emitter -> write(stream, () -> add(stream, records), emitter));
    }

    private <T> void write(String stream, Supplier<T> done, UniEmitter<? super T> emitter) {
      boolean lost = random.nextDouble() < share;
      if (manner == Manner.DOES_LATE && lost) {
        long late = LATE_FROM_MILLIS + random.nextInt(LATE_SPREAD_MILLIS);
        time.after(
            late * VirtualTime.MICROS_PER_MILLI,
            () -> {
              var unused = done.get();
            });
        return;
      }
      boolean answers = !(manner == Manner.LOSES_ANSWERS && lost);
      time.after(
          WRITE_MICROS * slowness,
          () -> {
            T answer = done.get();
            if (answers && !isSilent(stream)) {
              deliver(() -> emitter.complete(answer));
            }
          });
    }

    @Override
    public Uni<Void> trim(String stream, long beforeOffset) {
      return call(
          stream,
          CALL_LIMIT_MILLIS,
          emitter -> {
            Stream trimmed = stream(stream);
            trimmed.first = Math.max(trimmed.first, beforeOffset);
            deliver(() -> emitter.complete(null));
          });
    }

    @Override
    public Uni<Batch> read(String stream, long from, int most, long waitMillis) {
      return read(new Wanted(stream, from, most, MAX_READ_BYTES), waitMillis);
    }

    @Override
    public Uni<Batch> readHistory(String stream, long from, int maxBytes) {
      return read(new Wanted(stream, from, Integer.MAX_VALUE, maxBytes), 0);
    }

    private Uni<Batch> read(Wanted wanted, long waitMillis) {
      return call(
          wanted.stream(),
          waitMillis + CALL_LIMIT_MILLIS,
          (emitter, signOfLife) ->
              await(
                  wanted.stream(),
                  wanted.from(),
                  waitMillis,
                  () -> give(wanted, emitter, signOfLife)));
    }

    private void give(Wanted wanted, UniEmitter<? super Batch> emitter, Runnable signOfLife) {
      Stream kept = stream(wanted.stream());
      long first = Math.max(wanted.from(), kept.first);
      int size = kept.records.size();
      List<byte[]> records = new ArrayList<>();
      long bytes = 0;
      for (long at = first; at < size && records.size() < wanted.maxRecords(); at++) {
        byte[] record = kept.records.get((int) at);
        if (!records.isEmpty() && bytes + record.length > wanted.maxBytes()) {
          break;
        }
        records.add(record);
        bytes += record.length;
      }
      Batch batch = new Batch(first, records, size);
      boolean[] over = new boolean[1];
      emitter.onTermination(() -> over[0] = true);
      Runnable then = () -> deliver(() -> emitter.complete(batch));
      if (bandwidth == null) {
        then.run();
      } else {
        transfer(bytes, () -> over[0], signOfLife, then);
      }
    }

    private void transfer(
        long bytes, BooleanSupplier isAbandoned, Runnable signOfLife, Runnable then) {
      SimulatedPipe.Chunks arrived =
          (chunk, isLast) -> {
            signOfLife.run();
            if (isLast) {
              then.run();
            }
          };
      bandwidth.send(
          bytes,
          isAbandoned,
          (chunk, isLast) -> {
            readBytes += chunk;
            if (link == null) {
              arrived.onChunk(chunk, isLast);
            } else {
              link.send(
                  chunk, isAbandoned, (part, isWhole) -> arrived.onChunk(part, isLast && isWhole));
            }
          });
    }

    /** Serves a read once there is something to read, or the wait is over. */
    private void await(String name, long from, long waitMillis, Runnable serve) {
      Stream stream = stream(name);
      boolean[] served = new boolean[1];
      Runnable once =
          () -> {
            if (!served[0] && !isSilent(name)) {
              served[0] = true;
              time.after(ONE_WAY_MICROS * slowness, serve);
            }
          };
      if (stream.records.size() > from || from < stream.first || waitMillis <= 0) {
        once.run();
        return;
      }
      stream.waiting.add(once);
      time.after(waitMillis * VirtualTime.MICROS_PER_MILLI, once);
    }

    @Override
    public Uni<Page> list(String table, String afterKey) {
      return call(
          "table/" + table,
          CALL_LIMIT_MILLIS,
          emitter -> {
            List<Entry> entries = new ArrayList<>();
            table(table)
                .tailMap(afterKey, false)
                .forEach((key, value) -> entries.add(new Entry(key, value)));
            long end = stream("table/" + table).records.size();
            deliver(() -> emitter.complete(new Page(entries, false, end)));
          });
    }

    @Override
    public Uni<Void> put(String table, List<Entry> entries) {
      return call(
          "table/" + table,
          CALL_LIMIT_MILLIS,
          emitter ->
              write(
                  "table/" + table,
                  () -> {
                    entries.forEach(
                        entry -> SimulatedStore.this.put(table, entry.key(), entry.value()));
                    return null;
                  },
                  emitter));
    }

    @Override
    public Uni<Changes> changes(String table, long from, long waitMillis) {
      String name = "table/" + table;
      return call(
          name,
          waitMillis + CALL_LIMIT_MILLIS,
          emitter ->
              await(
                  name,
                  from,
                  waitMillis,
                  () -> {
                    Stream stream = stream(name);
                    boolean gone = from < stream.first;
                    List<Entry> entries = new ArrayList<>();
                    for (long at = from; !gone && at < stream.records.size(); at++) {
                      entries.add(entry(stream.records.get((int) at)));
                    }
                    long end = from + entries.size();
                    deliver(() -> emitter.complete(new Changes(entries, gone, end)));
                  }));
    }
  }

  private static TableService.Entry entry(byte[] record) {
    int keyEnd = 1 + record[0];
    String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
    byte[] value = java.util.Arrays.copyOfRange(record, keyEnd, record.length);
    return new TableService.Entry(key, value.length == 0 ? null : value);
  }
}
