/** Continuous reading of streams and tables of the platform's store. */
package org.passhaven.node.follow;
