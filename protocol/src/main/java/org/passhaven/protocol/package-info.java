/** Typed messages between passhaven's processes and records in the platform's log. No logic. */
package org.passhaven.protocol;
