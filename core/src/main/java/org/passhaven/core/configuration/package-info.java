/**
 * Operators' configuration: typed documents, whole-file checks and the fold of accepted revisions.
 */
package org.passhaven.core.configuration;
