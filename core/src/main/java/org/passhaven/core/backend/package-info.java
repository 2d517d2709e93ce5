/** Servers as the platform lists them, what is known of their health, and the choice among them. */
package org.passhaven.core.backend;
