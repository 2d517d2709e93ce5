package org.passhaven.node.gateway;

/**
 * The servers of a service in this node's region, and why none of them can take a request. A server
 * that was tried is not counted again.
 *
 * @param ready servers that accept requests
 * @param tried servers that the request was sent to
 * @param avoided servers that failed recently
 * @param full servers whose slots this node fills
 */
record RegionState(int ready, int tried, int avoided, int full) {}
