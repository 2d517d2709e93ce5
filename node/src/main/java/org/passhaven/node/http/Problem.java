package org.passhaven.node.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Problem details (RFC 9457) of every error answer.
 *
 * @param title short text for a person
 * @param status HTTP status
 * @param outcome what became of the request, for programs
 * @param errors all errors found, if there may be several
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Problem(String title, int status, Outcome outcome, List<String> errors) {
  /** Media type of problem details. */
  public static final String MEDIA_TYPE = "application/problem+json";

  /** What became of a request. */
  public enum Outcome {
    /** It was not run and will not be. */
    @com.fasterxml.jackson.annotation.JsonProperty("refused-not-run")
    REFUSED_NOT_RUN,
    /** It may have run. */
    @com.fasterxml.jackson.annotation.JsonProperty("outcome-unknown")
    OUTCOME_UNKNOWN
  }

  /** A request that was not run. */
  public static Problem notRun(int status, String title) {
    return new Problem(title, status, Outcome.REFUSED_NOT_RUN, List.of());
  }

  /** A request that was not run, with all its errors. */
  public static Problem notRun(int status, String title, List<String> errors) {
    return new Problem(title, status, Outcome.REFUSED_NOT_RUN, List.copyOf(errors));
  }

  /** A request that may have run. */
  public static Problem unknown(int status, String title) {
    return new Problem(title, status, Outcome.OUTCOME_UNKNOWN, List.of());
  }
}
