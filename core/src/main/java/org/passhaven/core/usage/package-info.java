/**
 * Usage accounting: counts of started requests by tenant and time window, and their reports. Pure
 * logic without I/O.
 */
package org.passhaven.core.usage;
