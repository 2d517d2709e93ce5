/**
 * The gateway node: forwards requests, runs batch jobs and orders weight versions. It keeps its
 * state in the platform's log and tables, executes the decisions of the pure logic in {@code core},
 * and runs on a single event loop.
 */
package org.passhaven.node.gateway;
