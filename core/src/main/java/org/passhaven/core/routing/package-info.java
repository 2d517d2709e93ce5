/** Choice of back ends from lagging reports. */
package org.passhaven.core.routing;
