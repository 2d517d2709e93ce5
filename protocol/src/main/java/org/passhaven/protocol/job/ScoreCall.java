package org.passhaven.protocol.job;

import java.util.Objects;

/**
 * A request that scores the text of an item once the text is complete.
 *
 * @param id identity of the request at the server
 * @param host host whose routes are used for the request
 * @param path path and query
 */
public record ScoreCall(String id, String host, String path, byte[] body) {
  public ScoreCall {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(body, "body");
  }
}
