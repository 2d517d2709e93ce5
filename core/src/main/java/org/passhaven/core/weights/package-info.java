/** Rolling update of engines to new weight versions. */
package org.passhaven.core.weights;
