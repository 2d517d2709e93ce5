/** Messages between simulated processes: latency, loss, cuts, bytes. */
package org.passhaven.simulator.network;
