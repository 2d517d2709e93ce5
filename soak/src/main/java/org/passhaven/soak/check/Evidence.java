package org.passhaven.soak.check;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.passhaven.platform.standin.history.Observation;
import org.passhaven.platform.standin.history.RequestObservation.RequestLeft;

/**
 * A whole history with what all checks need of it. Texts of results stand in it as {@link
 * TextDigest#format()}.
 */
public final class Evidence {
  private final List<Observation> observations;
  private final List<String> nodes;
  private final Bounds bounds;
  private final long readBackFromMillis;
  private final JobLedger jobs;
  private final TouchTable touch;

  /**
   * Takes a history.
   *
   * @param observations by time
   * @param nodes names of all nodes
   * @param readBackFromMillis when the reading back of everything began; reads from then on count
   *     for it
   */
  public Evidence(
      List<Observation> observations, List<String> nodes, Bounds bounds, long readBackFromMillis) {
    this.observations = List.copyOf(observations);
    this.nodes = List.copyOf(nodes);
    this.bounds = bounds;
    this.readBackFromMillis = readBackFromMillis;
    this.jobs = JobLedger.of(observations, bounds.versionsBehind());
    this.touch = TouchTable.of(observations, bounds.contactMillis());
  }

  /** All observations of a kind, by time. */
  public <T extends Observation> Stream<T> all(Class<T> kind) {
    return observations.stream().filter(kind::isInstance).map(kind::cast);
  }

  /** Ids of requests whose callers left before an answer was due. */
  Set<String> leftIds() {
    return all(RequestLeft.class).map(RequestLeft::id).collect(Collectors.toSet());
  }

  List<Observation> observations() {
    return observations;
  }

  List<String> nodes() {
    return nodes;
  }

  Bounds bounds() {
    return bounds;
  }

  long readBackFromMillis() {
    return readBackFromMillis;
  }

  /** The time of the last observation; 0 if there is none. */
  long endMillis() {
    return observations.isEmpty() ? 0 : observations.get(observations.size() - 1).atMillis();
  }

  JobLedger jobs() {
    return jobs;
  }

  TouchTable touch() {
    return touch;
  }
}
