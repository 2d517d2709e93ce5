/** Reuse of keep-alive connections. */
package org.passhaven.core.connection;
