/**
 * Leader lease for the calls that only one node at a time may make: weight load orders, usage
 * reports and scaling. Pure logic without I/O.
 */
package org.passhaven.core.duty;
