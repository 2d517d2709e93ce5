/** Batch jobs of opaque requests: submissions, results and log records. */
package org.passhaven.protocol.job;
