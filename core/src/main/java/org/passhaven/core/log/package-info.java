/** Identity and order of records in a stream. */
package org.passhaven.core.log;
