/** Virtual time and processes that live in it. */
package org.passhaven.simulator.time;
