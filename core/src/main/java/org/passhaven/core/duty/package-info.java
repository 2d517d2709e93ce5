/** Who may make the calls that one node at a time makes: orders, usage reports, scaling. Pure. */
package org.passhaven.core.duty;
