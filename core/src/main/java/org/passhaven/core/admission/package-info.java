/** Whether a request is sent to a service now, waits for a place, or is rejected. Pure. */
package org.passhaven.core.admission;
