package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * The result of a job item, including its text, as returned to the caller.
 *
 * @param completed whether the text is complete; if not, the item was abandoned
 * @param text data of all events in order, separated by line feeds
 * @param versions weight versions that generated the text, in ascending order
 * @param score score from the scoring service; empty if there is none
 */
public record ItemResult(
    String job, String item, boolean completed, String text, List<Long> versions, String score) {
  public ItemResult {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(item, "item");
    Objects.requireNonNull(text, "text");
    versions = List.copyOf(versions);
    Objects.requireNonNull(score, "score");
  }
}
