/** Records by which nodes publish how many requests of each tenant were started. */
package org.passhaven.protocol.usage;
