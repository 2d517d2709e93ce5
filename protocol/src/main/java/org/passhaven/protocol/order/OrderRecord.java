package org.passhaven.protocol.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Records that decide which node may give orders to servers; see {@code OrderLease}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = OrderRecord.Claimed.class, name = "oc"),
  @JsonSubTypes.Type(value = OrderRecord.Intended.class, name = "oi"),
  @JsonSubTypes.Type(value = OrderRecord.Released.class, name = "ol"),
  @JsonSubTypes.Type(value = OrderRecord.Reached.class, name = "or")
})
public sealed interface OrderRecord {
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
  record Claimed(long epoch, String node, long incarnation, long readTo) implements OrderRecord {}

  /**
   * The holder may order for a short while from the moment at which it sent this record.
   *
   * @param number counts the intents of one start of a node
   * @param othersQuietMillis how long before the sending the writer had last read anything by which
   *     another node may order
   */
  record Intended(long epoch, String node, long incarnation, long number, long othersQuietMillis)
      implements OrderRecord {}

  /** The holder orders no more, and each of its orders was answered before it sent this record. */
  record Released(long epoch, String node, long incarnation) implements OrderRecord {}

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
      implements OrderRecord {}
}
