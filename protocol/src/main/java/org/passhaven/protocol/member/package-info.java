/** What nodes tell of themselves in the log. */
package org.passhaven.protocol.member;
