/** Zones, regions and the distance between them. Pure logic without I/O. */
package org.passhaven.core.topology;
