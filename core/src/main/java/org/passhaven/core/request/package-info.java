/** Retry budgets, rate limits and durable intents of callers' requests. */
package org.passhaven.core.request;
