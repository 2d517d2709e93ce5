/**
 * Executes trainers' runs: ownership of shards, and routing of trainers' requests to the owners.
 */
package org.passhaven.node.run;
