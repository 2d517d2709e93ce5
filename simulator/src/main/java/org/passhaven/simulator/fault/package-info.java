/** Faults: kinds, scenario files, draws from a seed. */
package org.passhaven.simulator.fault;
