/** Heartbeats between nodes and detection of failed nodes. */
package org.passhaven.node.membership;
