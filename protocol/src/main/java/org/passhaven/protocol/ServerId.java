package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/** Name of a back end: a model engine or a service server. */
public record ServerId(@JsonValue String value) implements Comparable<ServerId> {
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServerId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(ServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
