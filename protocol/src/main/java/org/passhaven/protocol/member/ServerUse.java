package org.passhaven.protocol.member;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * What a node that runs jobs does at one server and sees of it, for the other nodes that run jobs.
 * Encoded without names of fields, since many of them ride on beats that every node reads: a new
 * field may only follow the last one.
 *
 * @param server id of the server
 * @param bornMillis when it started, as it tells; zero if it tells nothing
 * @param inProgress generations that the node has there
 * @param pauseMillis lasting pause between two events of a text there; zero if it is not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServerUse(String server, long bornMillis, int inProgress, int pauseMillis) {
  public ServerUse {
    Objects.requireNonNull(server, "server");
  }
}
