package org.passhaven.core.scale;

/**
 * Servers of a service in a zone.
 *
 * @param available servers that are ready, and those that can still be expected to return
 * @param counted servers that the platform may count: the available ones, and those that have not
 *     been listed for some time without having announced their end
 * @param draining listed servers that accept no new requests
 */
public record ZoneServers(int available, int counted, int draining) {
  /** Zone without servers. */
  static final ZoneServers NONE = new ZoneServers(0, 0, 0);
}
