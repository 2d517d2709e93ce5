package org.passhaven.core.tenant;

/** Whether a request is let in, and for whom. */
public sealed interface Admission {
  /**
   * It is let in.
   *
   * @param tenant name of the tenant that it runs for; empty if it runs for none
   */
  record Admitted(String tenant) implements Admission {}

  /** It is not let in. */
  record Rejected(Reason reason) implements Admission {}

  /** Why a request is not let in. */
  enum Reason {
    /** It shows no key, or not exactly one. */
    NO_KEY,
    /** No tenant of the configuration in force has its key. */
    UNKNOWN_KEY
  }
}
