package org.passhaven.core.scale;

/**
 * Load of a service at one time.
 *
 * @param openItems items of open jobs without a result
 * @param servers servers that serve now
 * @param slots items that these servers process concurrently
 * @param comingServers servers that were ordered and will serve soon
 * @param itemsPerServerSecond items that a busy server finishes in a second; zero if unknown
 * @param leadMillis time until a server that is ordered now takes its full load
 */
public record Load(
    int openItems,
    int servers,
    int slots,
    int comingServers,
    double itemsPerServerSecond,
    long leadMillis) {}
