/** How many requests of each tenant began to run, by window, and when that is reported. Pure. */
package org.passhaven.core.usage;
