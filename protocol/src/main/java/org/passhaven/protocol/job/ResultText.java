package org.passhaven.protocol.job;

import java.util.Objects;

/**
 * Record of a stream of texts: the text of one item's result. It is in the log before the result
 * that names its place; a text that no result names is one whose writer was overtaken.
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
