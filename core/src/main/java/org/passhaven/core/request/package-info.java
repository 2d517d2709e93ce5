/** Outcomes, retry budgets, admission and durable intents of callers' requests. */
package org.passhaven.core.request;
