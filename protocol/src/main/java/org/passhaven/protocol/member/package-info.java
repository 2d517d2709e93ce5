/** Heartbeats that nodes write to the log. */
package org.passhaven.protocol.member;
