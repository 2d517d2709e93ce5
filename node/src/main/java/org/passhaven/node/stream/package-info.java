/** Reading and appending to a stream of the platform's log. */
package org.passhaven.node.stream;
