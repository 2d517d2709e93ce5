/** A run of the soak: starts everything, does the plan, reads back, judges, leaves a folder. */
package org.passhaven.soak.run;
