package org.passhaven.cli;

/** Exit codes of the program, as docs/OPERATIONS.md lists them. */
enum ExitCode {
  /** Done. */
  OK(0),
  /** A promise was broken or a sample is missing. */
  VIOLATION(1),
  /** The command line is wrong. */
  USAGE(2),
  /** A file is wrong, or a configuration was refused. */
  INVALID(3),
  /** Another operator came first. */
  CONFLICT(4),
  /** A node can't be reached or did not answer in time. */
  UNREACHABLE(5);
  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
