/**
 * Gateway nodes in virtual time over a store, model servers and a trainer that fail, and a checker
 * of what must hold. The nodes are the production code.
 */
package org.passhaven.simulator.gateway;
