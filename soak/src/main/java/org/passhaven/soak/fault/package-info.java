/** Carries out a plan of faults: which are in force, and who does what about it. */
package org.passhaven.soak.fault;
