/**
 * Tenants, their API keys and priorities, and the authentication of requests. Pure logic without
 * I/O.
 */
package org.passhaven.core.tenant;
