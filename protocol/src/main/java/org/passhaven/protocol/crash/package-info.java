/** Notes on requests under which servers have ended. */
package org.passhaven.protocol.crash;
