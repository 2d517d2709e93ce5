/** Timing of leases whose records are kept in the stream that they protect. */
package org.passhaven.core.lease;
