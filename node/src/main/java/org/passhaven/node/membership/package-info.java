/** Heartbeats between nodes. */
package org.passhaven.node.membership;
