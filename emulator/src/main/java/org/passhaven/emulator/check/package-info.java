/** Judges what the stand-ins themselves saw; knows nothing of the product's own counters. */
package org.passhaven.emulator.check;
