/** Duplicate detection for records of a stream, and concurrency of history reads. */
package org.passhaven.core.log;
