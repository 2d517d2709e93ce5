/**
 * Admission control: decides whether a request to a service is sent, queued or rejected. Pure logic
 * without I/O.
 */
package org.passhaven.core.admission;
