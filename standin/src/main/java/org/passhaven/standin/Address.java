package org.passhaven.standin;

/** Host and port of a process. */
public record Address(String host, int port) {
  private static final int LAST_PORT = 65_535;

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if it is not of that form
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not host:port: " + text, e);
    }
    if (port < 0 || port > LAST_PORT) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new Address(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
