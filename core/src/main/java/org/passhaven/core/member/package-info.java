/** Liveness of nodes, derived from their heartbeats in the log. Pure logic without I/O. */
package org.passhaven.core.member;
