/** HTTP server of a node: the interfaces for callers, trainers, operators and peers. */
package org.passhaven.node.http;
