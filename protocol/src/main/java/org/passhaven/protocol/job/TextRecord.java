package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * What generations of one run have made since the runner's last record: the only durable trace of
 * text that is not a result yet. Written by the run's owner, read by its successor.
 *
 * @param run run whose jobs the text belongs to
 * @param epoch epoch under which the writer owns the run; records of a lower one than the highest
 *     read are ignored
 * @param number number of the record under its epoch, rising from 1; an append that was done late
 *     is known by it
 * @param parts pieces of text, at most one an item
 */
public record TextRecord(String run, long epoch, long number, List<TextPart> parts) {
  public TextRecord {
    Objects.requireNonNull(run, "run");
    parts = List.copyOf(parts);
  }

  /**
   * Events of one item that follow one another. They replace what is known behind {@code
   * afterEvent}, if what is known up to there is the text that they continue.
   *
   * @param afterEvent number of the event before the first one given; zero for the beginning
   * @param beforeHash hash of the events up to {@code afterEvent} and their versions; zero for none
   * @param events data of the events
   * @param versions weight version that made each event
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
        throw new IllegalArgumentException("each event needs the version that made it");
      }
    }
  }
}
