/** Who is alive: heartbeats, suspicion and their spread. */
package org.passhaven.core.membership;
