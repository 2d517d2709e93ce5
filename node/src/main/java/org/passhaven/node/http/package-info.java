/** Callers', operators' and peers' HTTP interfaces. */
package org.passhaven.node.http;
