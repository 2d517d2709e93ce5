/** Memory limits for request and response bodies. Performs no I/O. */
package org.passhaven.core.memory;
