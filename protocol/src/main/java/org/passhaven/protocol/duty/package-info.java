/** Records of the lease that decides which node performs the single-node duties. */
package org.passhaven.protocol.duty;
