package org.passhaven.protocol.member;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * Report of a node that runs jobs on its use of one server, for other nodes that run jobs. Encoded
 * as an array, since a beat carries many of them: new fields may only be appended.
 *
 * @param server id of the server
 * @param bornMillis start time that the server reports; zero if it reports none
 * @param inProgress the node's generations in progress there
 * @param pauseMillis lasting pause between two events of a text there; zero if it is not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServerUse(String server, long bornMillis, int inProgress, int pauseMillis) {
  public ServerUse {
    Objects.requireNonNull(server, "server");
  }
}
