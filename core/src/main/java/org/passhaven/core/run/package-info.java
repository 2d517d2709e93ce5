/**
 * Steps and samples of a trainer's run: replicated state of a shard and scheduling by its owner.
 */
package org.passhaven.core.run;
