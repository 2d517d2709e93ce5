/** Directories of the engines and service servers that a node uses. */
package org.passhaven.node.backend;
