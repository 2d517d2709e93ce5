/** How one request is brought to servers: attempts, hedging, what the caller is told. Pure. */
package org.passhaven.core.forward;
