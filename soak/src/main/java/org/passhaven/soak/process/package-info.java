/** The system's own programs as processes that are started, harmed and ended by their ids. */
package org.passhaven.soak.process;
