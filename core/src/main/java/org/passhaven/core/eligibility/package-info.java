/** Decides whether a server may receive a request now. Pure logic without I/O. */
package org.passhaven.core.eligibility;
