package org.passhaven.soak.check;

/**
 * A promise that was broken.
 *
 * @param atMillis when it was seen, on the history's clock
 * @param node the node that showed it; empty if it isn't known
 * @param subject id of the job, request or back end
 * @param text what was seen, in a sentence
 */
public record Finding(Promise promise, long atMillis, String node, String subject, String text) {}
