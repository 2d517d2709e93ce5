/** Rendezvous placement of work on members, spread over zones. */
package org.passhaven.core.placement;
