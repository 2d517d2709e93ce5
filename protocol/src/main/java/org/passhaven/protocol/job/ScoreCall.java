package org.passhaven.protocol.job;

import java.util.Objects;

/**
 * Request that scores the text of an item once it is whole.
 *
 * @param id identity of the request at the server
 * @param host host whose routes carry it
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
