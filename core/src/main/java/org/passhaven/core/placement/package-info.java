/** Placement of work on members by rendezvous hashing, with spreading over zones. */
package org.passhaven.core.placement;
