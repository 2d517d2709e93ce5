/** The simulated platform and the load, over the emulator's models. */
package org.passhaven.simulator.world;
