/** Batch jobs of opaque requests: what a submission holds, and the records of their streams. */
package org.passhaven.protocol.job;
