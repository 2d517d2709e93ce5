package org.passhaven.protocol.member;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * A node's use of one server for jobs, reported to the other nodes that run jobs. Encoded as an
 * array to keep heartbeats small, so new fields may only be appended.
 *
 * @param server id of the server
 * @param bornMillis start time that the server reports, in milliseconds since 1970; zero if it
 *     reports none
 * @param inProgress number of generations of the node in progress at the server
 * @param pauseMillis sustained interval between the events of a text from the server, which ignores
 *     transient slowness; zero if unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServerUse(String server, long bornMillis, int inProgress, int pauseMillis) {
  public ServerUse {
    Objects.requireNonNull(server, "server");
  }
}
