/** Which nodes are alive, by their beats in the log. Pure. */
package org.passhaven.core.member;
