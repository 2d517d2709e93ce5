package org.passhaven.core.eligibility;

/** Reason why a server must not receive a request now. */
public enum Ineligibility {
  /** No entry of this incarnation of the server is known. */
  NOT_LISTED("the server is not listed"),
  /** The server accepts no new requests. */
  DRAINING("the server is draining"),
  /** The operator has evacuated the server's zone. */
  ZONE_EVACUATED("the server's zone is evacuated"),
  /** The request may be served in other regions only. */
  REGION_NOT_ALLOWED("the request may not be served in the server's region"),
  /** The server has just started, and this node's share of its load limit is used up. */
  COLD_LIMIT_REACHED("the server is cold and has reached its load limit");

  private final String text;

  Ineligibility(String text) {
    this.text = text;
  }

  /** Returns the reason for log lines and errors. */
  public String text() {
    return text;
  }
}
