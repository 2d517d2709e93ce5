package org.passhaven.core.tenant;

/** Result of authenticating a request by its API key. */
public sealed interface AuthenticationResult {
  /**
   * The request is admitted.
   *
   * @param tenant name of the tenant that it runs for; empty if it runs for none
   */
  record Admitted(String tenant) implements AuthenticationResult {}

  /** The request is rejected. */
  record Rejected(Reason reason) implements AuthenticationResult {}

  /** Reason for a rejection. */
  enum Reason {
    /** The request has no key, or more than one. */
    NO_KEY,
    /** No tenant of the configuration in force has the key. */
    UNKNOWN_KEY
  }
}
