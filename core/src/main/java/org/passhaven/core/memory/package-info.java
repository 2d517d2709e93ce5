/** How many bytes a node may hold for callers and servers that read slowly. Pure. */
package org.passhaven.core.memory;
