package org.passhaven.protocol.job;

import java.util.Objects;

/**
 * A record with the text of one item's result. It is appended before the result that refers to its
 * location; a text without a result is left over from a writer that lost the race to finish the
 * item.
 *
 * @param text data of all events in order, separated by line feeds
 */
public record ResultText(String job, String item, String text) {
  public ResultText {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(item, "item");
    Objects.requireNonNull(text, "text");
  }
}
