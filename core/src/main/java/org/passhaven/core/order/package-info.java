/** Who may order weight versions, and which server takes which version next. Pure. */
package org.passhaven.core.order;
