/**
 * Runs the production nodes in one process under virtual time, with faults from a seed or a
 * scenario file.
 */
package org.passhaven.simulator;
