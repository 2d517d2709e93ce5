/** Operator-defined properties of services. Pure logic without I/O. */
package org.passhaven.core.service;
