/** Requests under which servers have ended: who is suspected, and when it may run again. */
package org.passhaven.core.crash;
