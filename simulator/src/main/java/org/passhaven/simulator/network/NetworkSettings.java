package org.passhaven.simulator.network;

/**
 * Latencies of a site's network, one way.
 *
 * @param sameZoneMicros between processes of one zone
 * @param zoneMicros between zones
 * @param clientMicros between clients and nodes
 * @param regionMicros between zones of different regions
 * @param zonesPerRegion zones that make a region, in the order of the site; 0 if there is one
 *     region
 */
public record NetworkSettings(
    long sameZoneMicros,
    long zoneMicros,
    long clientMicros,
    long regionMicros,
    int zonesPerRegion) {}
