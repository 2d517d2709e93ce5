/** What must hold, judged from what was seen from outside: pure folds over a history. */
package org.passhaven.soak.check;
