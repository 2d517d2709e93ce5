/**
 * Stand-ins as state machines without I/O or clock: the same in real processes and in the
 * simulator.
 */
package org.passhaven.emulator.model;
