/**
 * Planning of weight loads: which server loads which weight version next. Pure logic without I/O.
 */
package org.passhaven.core.order;
