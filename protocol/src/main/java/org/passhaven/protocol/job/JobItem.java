package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * One request of a batch job.
 *
 * @param id identity of the request at the server, unique in the job
 * @param path path and query
 * @param headers header fields that the server gets unchanged
 * @param group items of one group share their prompt; empty if there is none
 * @param expectedTokens the caller's estimate of the tokens to come; zero if unknown
 * @param score request that scores the text; null if the text needs no score
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
}
