/** Registry, health and selection of model servers. */
package org.passhaven.core.backend;
