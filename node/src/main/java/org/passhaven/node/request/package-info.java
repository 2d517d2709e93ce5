/** The way of a caller's request to a back end and back. */
package org.passhaven.node.request;
