package org.passhaven.core.eligibility;

import org.passhaven.core.backend.ServerEntry;

/** Limits the requests that this node sends to servers that have just started. */
public interface ColdStartLimit {
  /** Limit of a deployment whose servers can take all requests from their start. */
  ColdStartLimit NONE =
      new ColdStartLimit() {
        @Override
        public boolean maySend(ServerEntry server, long nowMillis) {
          return true;
        }

        @Override
        public void onSent(ServerEntry server, long nowMillis) {}
      };

  /** Returns whether a request may be sent to a server now. */
  boolean maySend(ServerEntry server, long nowMillis);

  /** Counts a request that is sent to a server now. */
  void onSent(ServerEntry server, long nowMillis);
}
