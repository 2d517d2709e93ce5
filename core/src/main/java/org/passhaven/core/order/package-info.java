/** Which server takes which weight version next. Pure. */
package org.passhaven.core.order;
