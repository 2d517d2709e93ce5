/** Batch jobs: their replicated state, and scheduling by the node that owns them, without I/O. */
package org.passhaven.core.job;
