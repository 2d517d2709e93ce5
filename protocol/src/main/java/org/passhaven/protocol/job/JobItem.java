package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * A request of a batch job.
 *
 * @param id id under which the request is sent to the server; unique in the job
 * @param path path and query
 * @param headers header fields passed to the server unchanged
 * @param group group of items with the same prompt; empty if there is none
 * @param expectedTokens number of tokens estimated by the caller; zero if unknown
 * @param score request that scores the text; null if the text is not scored
 */
public record JobItem(
    String id,
    String path,
    List<HeaderField> headers,
    byte[] body,
    String group,
    long expectedTokens,
    ScoreCall score) {
  public JobItem {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(path, "path");
    headers = List.copyOf(headers);
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(group, "group");
  }

  /** Returns this item without what is needed to run it. */
  public JobItem withoutRequest() {
    return new JobItem(id, "", List.of(), new byte[0], group, expectedTokens, null);
  }
}
