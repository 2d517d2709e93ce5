/** Proxies on loopback that harm the links between the parts of the system from outside. */
package org.passhaven.soak.proxy;
