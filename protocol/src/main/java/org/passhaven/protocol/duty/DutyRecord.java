package org.passhaven.protocol.duty;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Map;

/**
 * A log record about the duties that only one node at a time performs and about the lease on them;
 * see {@code DutyLease}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = DutyRecord.Claimed.class, name = "oc"),
  @JsonSubTypes.Type(value = DutyRecord.Intended.class, name = "oi"),
  @JsonSubTypes.Type(value = DutyRecord.Released.class, name = "ol"),
  @JsonSubTypes.Type(value = DutyRecord.Reached.class, name = "or"),
  @JsonSubTypes.Type(value = DutyRecord.UsageFixed.class, name = "uf"),
  @JsonSubTypes.Type(value = DutyRecord.UsageReported.class, name = "ur"),
  @JsonSubTypes.Type(value = DutyRecord.ScalingFigures.class, name = "sf")
})
public sealed interface DutyRecord {
  /** Returns the epoch of the lease under which the record was written. */
  long epoch();

  /** Returns the node that wrote the record. */
  String node();

  /** Returns the incarnation of the node that wrote the record. */
  long incarnation();

  /**
   * Claim of the lease. Valid if its epoch is higher than the last one applied and its writer had
   * read past the holder's newest record.
   *
   * @param readTo offset up to which the writer had read the stream
   */
  record Claimed(long epoch, String node, long incarnation, long readTo) implements DutyRecord {}

  /**
   * Announcement that the holder may send orders for a short time after it sent this record.
   *
   * @param number number of the record within one incarnation of the node
   * @param othersQuietMillis time that had passed, when this record was sent, since the writer read
   *     the last record that allows another node to send orders
   */
  record Intended(long epoch, String node, long incarnation, long number, long othersQuietMillis)
      implements DutyRecord {}

  /**
   * Release of the lease. The holder sends no more orders, and all its orders were answered before
   * it sent this record.
   */
  record Released(long epoch, String node, long incarnation) implements DutyRecord {}

  /**
   * Record of the holder that a server has reached a weight version; other nodes learn it from this
   * record before the server's entry is updated.
   *
   * @param serverBornMillis start time of the server; zero if it reports none
   */
  record Reached(
      long epoch,
      String node,
      long incarnation,
      String server,
      long serverBornMillis,
      String model,
      long version)
      implements DutyRecord {}

  /**
   * The final usage counts of a window, which every holder of the lease reports unchanged. The
   * first record of a window wins.
   *
   * @param counts requests by tenant
   * @param readTo offset in the usage stream up to which the counts were added up
   */
  record UsageFixed(
      long epoch, String node, long incarnation, long window, Map<String, Long> counts, long readTo)
      implements DutyRecord {
    public UsageFixed {
      counts = Map.copyOf(counts);
    }
  }

  /** Confirmation that the usage of a window was reported. */
  record UsageReported(long epoch, String node, long incarnation, long window)
      implements DutyRecord {}

  /**
   * All numbers of servers that stand as ordered; replaces earlier records. An order is sent only
   * after the record that contains it was read back.
   *
   * @param number number of the record within one incarnation of the node
   * @param services figures by service
   */
  record ScalingFigures(
      long epoch, String node, long incarnation, long number, Map<String, ServiceFigures> services)
      implements DutyRecord {
    public ScalingFigures {
      services = Map.copyOf(services);
    }
  }
}
