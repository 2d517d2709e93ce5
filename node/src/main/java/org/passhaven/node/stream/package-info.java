/** Reading and writing one stream of the platform's log. */
package org.passhaven.node.stream;
