/** Operators' configuration: typed documents, validation and the log of accepted revisions. */
package org.passhaven.core.configuration;
