/** Routes callers' requests to service back ends: admission, retries and idempotency keys. */
package org.passhaven.node.request;
