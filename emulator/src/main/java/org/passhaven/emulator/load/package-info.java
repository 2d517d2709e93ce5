/** Trainers and callers that put load on nodes. */
package org.passhaven.emulator.load;
