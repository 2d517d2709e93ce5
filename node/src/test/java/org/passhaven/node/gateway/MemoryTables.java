package org.passhaven.node.gateway;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.passhaven.node.ManualTimers;
import org.passhaven.spi.PlatformException;
import org.passhaven.spi.TableService;

/** In-memory tables with one partition each; followers are notified of changes at once. */
final class MemoryTables {
  private final ManualTimers timers;
  final Map<String, List<TableService.Entry>> changesByTable = new TreeMap<>();
  final Map<String, List<Runnable>> waitersByTable = new HashMap<>();
  boolean isDown;
  int puts;

  MemoryTables(ManualTimers timers) {
    this.timers = timers;
  }

  void add(String table, List<TableService.Entry> entries) {
    changesByTable.computeIfAbsent(table, key -> new ArrayList<>()).addAll(entries);
    List<Runnable> waiters = waitersByTable.remove(table);
    if (waiters != null) {
      waiters.forEach(Runnable::run);
    }
  }

  Map<String, byte[]> currentValues(String table) {
    Map<String, byte[]> newest = new TreeMap<>();
    changesByTable
        .getOrDefault(table, List.of())
        .forEach(
            entry -> {
              if (entry.value() == null) {
                newest.remove(entry.key());
              } else {
                newest.put(entry.key(), entry.value());
              }
            });
    return newest;
  }

  TableService asService() {
    return new TableService() {
      @Override
      public Uni<Page> list(String table, String afterKey) {
        List<Entry> entries = new ArrayList<>();
        currentValues(table).forEach((key, value) -> entries.add(new Entry(key, value)));
        return Uni.createFrom()
            .item(new Page(entries, false, changesByTable.getOrDefault(table, List.of()).size()));
      }

      @Override
      public Uni<Changes> changes(String table, long from, long waitMillis) {
        return Uni.createFrom().emitter(emitter -> completeWhenChanged(table, (int) from, emitter));
      }

      @Override
      public Uni<Void> put(String table, List<Entry> entries) {
        puts++;
        if (isDown) {
          return Uni.createFrom()
              .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "down"));
        }
        add(table, entries);
        return Uni.createFrom().voidItem();
      }
    };
  }

  private void completeWhenChanged(
      String table, int from, UniEmitter<? super TableService.Changes> emitter) {
    List<TableService.Entry> all = changesByTable.getOrDefault(table, List.of());
    if (from < all.size()) {
      emitter.complete(new TableService.Changes(all.subList(from, all.size()), false, all.size()));
    } else {
      waitersByTable
          .computeIfAbsent(table, key -> new ArrayList<>())
          .add(() -> timers.after(1, () -> completeWhenChanged(table, from, emitter)));
    }
  }
}
