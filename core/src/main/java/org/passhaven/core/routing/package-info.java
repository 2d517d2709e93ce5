/** Selection of back ends from delayed load reports. */
package org.passhaven.core.routing;
