/** HTTP clients for the interfaces in {@link org.passhaven.spi}. */
package org.passhaven.standin;
