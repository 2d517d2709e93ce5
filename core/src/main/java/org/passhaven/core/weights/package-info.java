/** Order in which engines take a new weight version. */
package org.passhaven.core.weights;
