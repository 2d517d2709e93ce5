/** What a node knows of engines and service servers. */
package org.passhaven.node.backend;
