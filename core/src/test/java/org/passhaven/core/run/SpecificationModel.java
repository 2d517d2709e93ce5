package org.passhaven.core.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.passhaven.protocol.LogEntry;
import org.passhaven.protocol.LogRecord;
import org.passhaven.protocol.LogRecord.Commit;
import org.passhaven.protocol.NodeId;
import org.passhaven.protocol.RecordId;

/**
 * Direct translation of the operator {@code Step} in spec/src/main/tla/Delivery.tla, against which
 * {@link RunState} is tested.
 */
final class SpecificationModel {
  record Bound(int slot, int attempt) {}

  long epoch;
  NodeId owner;
  final List<Bound> bound = new ArrayList<>();
  private final Set<RecordId> processed = new HashSet<>();

  void step(LogEntry entry) {
    if (!processed.add(entry.id())) {
      return;
    }
    if (entry.record() instanceof LogRecord.LeaseClaimed claim) {
      if (claim.epoch() == epoch + 1) {
        epoch = claim.epoch();
        owner = entry.id().writer();
      }
    } else if (entry.record() instanceof LogRecord.SamplesCommitted committed) {
      if (committed.epoch() == epoch && entry.id().writer().equals(owner)) {
        committed.commits().forEach(this::commit);
      }
    }
  }

  private void commit(Commit commit) {
    int position = positionOf(commit.slot());
    if (position >= 0) {
      if (commit.position() == position && commit.attempt() > bound.get(position).attempt()) {
        bound.set(position, new Bound(commit.slot(), commit.attempt()));
      }
    } else if (commit.position() == bound.size()) {
      bound.add(new Bound(commit.slot(), commit.attempt()));
    }
  }

  private int positionOf(int slot) {
    for (int position = 0; position < bound.size(); position++) {
      if (bound.get(position).slot() == slot) {
        return position;
      }
    }
    return -1;
  }
}
