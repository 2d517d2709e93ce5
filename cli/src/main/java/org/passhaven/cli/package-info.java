/** The one program: nodes, the emulated platform, operators' commands and experiments. */
package org.passhaven.cli;
