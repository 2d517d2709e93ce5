/** Gossip-based membership: heartbeats, suspicion and their dissemination. */
package org.passhaven.core.membership;
