/** Notes on requests during which servers crashed. */
package org.passhaven.protocol.crash;
