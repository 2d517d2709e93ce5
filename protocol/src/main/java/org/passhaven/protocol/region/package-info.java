/** Regions that requests are bound to. */
package org.passhaven.protocol.region;
