package org.passhaven.protocol.job;

import java.util.Objects;

/** A header field of a request or a response, as received. */
public record HeaderField(String name, String value) {
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
