/** Messages between passhaven nodes and records in the platform's log. */
package org.passhaven.protocol;
