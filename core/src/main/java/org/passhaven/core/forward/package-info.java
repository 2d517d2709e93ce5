/** Forwarding of a request to servers: attempts, retries and hedging. Performs no I/O. */
package org.passhaven.core.forward;
