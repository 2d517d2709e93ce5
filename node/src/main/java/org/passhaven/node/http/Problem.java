package org.passhaven.node.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Represents the problem details (RFC 9457) of an error response.
 *
 * @param title short description for humans
 * @param status HTTP status
 * @param outcome whether the request may have run, for programs
 * @param errors all validation errors; empty if there is only the title
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Problem(String title, int status, Outcome outcome, List<String> errors) {
  /** Media type of problem details. */
  public static final String MEDIA_TYPE = "application/problem+json";

  /** The outcome of a failed request. */
  public enum Outcome {
    /** The request was not run and will not be. */
    @com.fasterxml.jackson.annotation.JsonProperty("refused-not-run")
    REFUSED_NOT_RUN,
    /** The request may or may not have run. */
    @com.fasterxml.jackson.annotation.JsonProperty("outcome-unknown")
    OUTCOME_UNKNOWN
  }

  /** Returns the problem of a request that was not run. */
  public static Problem notRun(int status, String title) {
    return new Problem(title, status, Outcome.REFUSED_NOT_RUN, List.of());
  }

  /** Returns the problem of a request that was not run, with its validation errors. */
  public static Problem notRun(int status, String title, List<String> errors) {
    return new Problem(title, status, Outcome.REFUSED_NOT_RUN, List.copyOf(errors));
  }

  /** Returns the problem of a request that may have run. */
  public static Problem unknown(int status, String title) {
    return new Problem(title, status, Outcome.OUTCOME_UNKNOWN, List.of());
  }
}
