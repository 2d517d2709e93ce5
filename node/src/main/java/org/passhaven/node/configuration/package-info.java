/** Reading and applying the operators' configuration. */
package org.passhaven.node.configuration;
