/**
 * Detection of requests that crash servers: which requests are suspected, and when they may run
 * again.
 */
package org.passhaven.core.crash;
