/** Routing of requests to services by host, path prefix and weight. Performs no I/O. */
package org.passhaven.core.route;
