/** Batch jobs: the fold of their records, and the decisions of the node that runs them. Pure. */
package org.passhaven.core.job;
