/**
 * Life of a trainer's steps and samples: the fold of a shard's stream and its owner's decisions.
 */
package org.passhaven.core.run;
