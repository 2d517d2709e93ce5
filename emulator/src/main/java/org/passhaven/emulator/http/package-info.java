/** The stand-ins behind HTTP. */
package org.passhaven.emulator.http;
