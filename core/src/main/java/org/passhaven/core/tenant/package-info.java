/** Who may call: tenants, their keys and ranks, and whom a request is let in for. Pure. */
package org.passhaven.core.tenant;
