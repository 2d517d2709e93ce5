/** Clock rules of leases that live in the stream that they protect. */
package org.passhaven.core.lease;
