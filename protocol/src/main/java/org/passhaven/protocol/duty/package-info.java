/** Records of the stream that decides which node does the duties of one holder. */
package org.passhaven.protocol.duty;
