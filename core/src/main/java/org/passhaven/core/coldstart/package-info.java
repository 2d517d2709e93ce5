/** Divides the load that cold servers can take among the nodes. Pure logic without I/O. */
package org.passhaven.core.coldstart;
