/**
 * A passhaven node: its components, settings and metrics. The components execute the decisions of
 * the core; all of them run on one thread.
 */
package org.passhaven.node;
