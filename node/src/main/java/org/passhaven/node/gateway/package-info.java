/**
 * A node on a platform that keeps all state: requests, batch jobs, weight orders, each driven by
 * the pure decisions in {@code core}. Everything runs on one event loop.
 */
package org.passhaven.node.gateway;
