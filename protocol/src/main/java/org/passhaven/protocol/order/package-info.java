/** Records of the stream that decides which node may order weight versions. */
package org.passhaven.protocol.order;
