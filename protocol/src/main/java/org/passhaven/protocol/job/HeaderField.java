package org.passhaven.protocol.job;

import java.util.Objects;

/** One header field of a request or an answer, as it was received. */
public record HeaderField(String name, String value) {
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
