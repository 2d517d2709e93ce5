package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * A checkpoint of the text that the generations of one run have produced since the runner's last
 * record. It is the only durable copy of text that is not yet a result. Written by the owner of the
 * run and read by its successor.
 *
 * @param run run that the jobs of the text belong to
 * @param epoch epoch under which the writer owns the run; records with a lower epoch than the
 *     highest one read are ignored
 * @param number number of the record within its epoch, increasing from 1; identifies late appends
 * @param parts parts of texts, at most one per item
 */
public record TextRecord(String run, long epoch, long number, List<TextPart> parts) {
  public TextRecord {
    Objects.requireNonNull(run, "run");
    parts = List.copyOf(parts);
  }

  /**
   * Consecutive events of one item. They replace all events after {@code afterEvent}, provided that
   * the events up to it match {@code beforeHash}.
   *
   * @param afterEvent number of the event before the first one in this part; zero for the beginning
   * @param beforeHash hash of the events up to {@code afterEvent} and their versions; zero for none
   * @param events data of the events
   * @param versions weight version that generated each event
   * @param isWhole whether the text is complete with the last event
   */
  public record TextPart(
      String job,
      String item,
      long afterEvent,
      long beforeHash,
      List<String> events,
      List<Long> versions,
      boolean isWhole) {
    public TextPart {
      Objects.requireNonNull(job, "job");
      Objects.requireNonNull(item, "item");
      events = List.copyOf(events);
      versions = List.copyOf(versions);
      if (events.size() != versions.size()) {
        throw new IllegalArgumentException("number of events and number of versions must be equal");
      }
    }
  }
}
