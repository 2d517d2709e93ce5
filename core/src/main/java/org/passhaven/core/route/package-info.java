/** Which service runs a request: hosts, path prefixes, shares of services. Pure. */
package org.passhaven.core.route;
