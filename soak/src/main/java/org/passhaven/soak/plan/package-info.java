/** The plan of faults of a run: pure, drawn from a seed. */
package org.passhaven.soak.plan;
