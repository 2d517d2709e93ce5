/** Stand-ins for everything outside passhaven, for tests, the quickstart and experiments. */
package org.passhaven.emulator;
