/** Runs over seeds, sizes and policies, with their reports. */
package org.passhaven.simulator.experiment;
