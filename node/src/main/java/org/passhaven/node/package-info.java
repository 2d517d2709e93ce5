/**
 * One passhaven process: the parts that carry out the decisions of the core. Everything runs on one
 * thread.
 */
package org.passhaven.node;
