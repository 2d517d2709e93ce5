/** Zones whose servers must receive no new requests. Pure logic without I/O. */
package org.passhaven.core.evacuation;
