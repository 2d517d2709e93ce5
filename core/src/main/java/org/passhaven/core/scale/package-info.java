/** Decides how many servers of a service are ordered in which zone. Pure logic without I/O. */
package org.passhaven.core.scale;
