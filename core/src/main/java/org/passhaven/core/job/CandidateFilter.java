package org.passhaven.core.job;

import org.passhaven.core.backend.ServerEntry;
import org.passhaven.protocol.region.RegionRestriction;

/** Decides which ready servers may be chosen for a generation. */
@FunctionalInterface
public interface CandidateFilter {
  /** Returns whether a request with a restriction may be sent to a server. */
  boolean mayReceive(ServerEntry server, RegionRestriction restriction);
}
