/**
 * Interfaces to the external services that passhaven uses; each platform has its own
 * implementation.
 */
package org.passhaven.spi;
