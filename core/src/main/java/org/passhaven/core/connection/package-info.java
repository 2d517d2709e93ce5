/** Which connections that were kept open may still be used. */
package org.passhaven.core.connection;
