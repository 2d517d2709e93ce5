/** Records by which nodes tell how many requests of each tenant began to run. */
package org.passhaven.protocol.usage;
