/**
 * Narrow interfaces to everything outside passhaven's own processes. One implementation a site's
 * dialect.
 */
package org.passhaven.spi;
