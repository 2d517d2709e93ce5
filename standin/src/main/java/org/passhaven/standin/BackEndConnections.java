package org.passhaven.standin;

import io.vertx.ext.web.client.WebClientOptions;

/** How back ends are connected to. */
final class BackEndConnections {
  private BackEndConnections() {}

  /**
   * Returns options for a client that opens a connection for each call. Answers carry no id, so
   * only there can an answer be told from a second one to a former call.
   */
  static WebClientOptions oneCallEach(WebClientOptions options) {
    return new WebClientOptions(options).setKeepAlive(false);
  }
}
