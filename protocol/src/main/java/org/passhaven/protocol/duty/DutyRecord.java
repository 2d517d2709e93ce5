package org.passhaven.protocol.duty;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Map;

/**
 * Records of the duties that one node at a time has, and of who has them; see {@code DutyLease}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = DutyRecord.Claimed.class, name = "oc"),
  @JsonSubTypes.Type(value = DutyRecord.Intended.class, name = "oi"),
  @JsonSubTypes.Type(value = DutyRecord.Released.class, name = "ol"),
  @JsonSubTypes.Type(value = DutyRecord.Reached.class, name = "or"),
  @JsonSubTypes.Type(value = DutyRecord.UsageFixed.class, name = "uf"),
  @JsonSubTypes.Type(value = DutyRecord.UsageReported.class, name = "ur")
})
public sealed interface DutyRecord {
  /** Epoch under which the record was written. */
  long epoch();

  /** Node that wrote the record. */
  String node();

  /** Start of the node that wrote the record. */
  long incarnation();

  /**
   * Claim; valid if its epoch is higher than the one folded so far, and its writer had read to
   * behind the holder's newest record.
   *
   * @param readTo offset up to which the writer had read the stream
   */
  record Claimed(long epoch, String node, long incarnation, long readTo) implements DutyRecord {}

  /**
   * The holder may order for a short while from the moment at which it sent this record.
   *
   * @param number counts the intents of one start of a node
   * @param othersQuietMillis how long before the sending the writer had last read anything by which
   *     another node may order
   */
  record Intended(long epoch, String node, long incarnation, long number, long othersQuietMillis)
      implements DutyRecord {}

  /** The holder orders no more, and each of its orders was answered before it sent this record. */
  record Released(long epoch, String node, long incarnation) implements DutyRecord {}

  /**
   * A server told the holder that it holds a version; its own entry says so only later.
   *
   * @param serverBornMillis when the server that told it was started; zero if it does not tell
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
   * What is reported of a window, by whichever holder and however often; the first record of a
   * window counts.
   *
   * @param counts requests by tenant
   * @param readTo offset of the stream of counts up to which they were added up
   */
  record UsageFixed(
      long epoch, String node, long incarnation, long window, Map<String, Long> counts, long readTo)
      implements DutyRecord {
    public UsageFixed {
      counts = Map.copyOf(counts);
    }
  }

  /** A window was reported. */
  record UsageReported(long epoch, String node, long incarnation, long window)
      implements DutyRecord {}
}
