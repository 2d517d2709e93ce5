/** Serving runs: owners of shards, and the way from a trainer to them. */
package org.passhaven.node.run;
