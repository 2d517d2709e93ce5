/** Sizes, latencies and load of a site. */
package org.passhaven.emulator.site;
