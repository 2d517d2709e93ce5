package org.passhaven.protocol;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Name of a passhaven node, unique in the fleet. Unlike the incarnation, it stays the same across
 * restarts.
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public NodeId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
