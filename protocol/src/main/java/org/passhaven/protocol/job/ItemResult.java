package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * A result as its caller reads it, with its text.
 *
 * @param completed whether the item has its whole text; else it is given up
 * @param text data of all events in order, separated by line feeds
 * @param versions weight versions that made the text, rising
 * @param score what the scorer gave; empty if there is none
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
