package org.passhaven.core.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerIncarnation;
import org.passhaven.core.backend.ServerPicker;
import org.passhaven.core.route.Route;

/**
 * Decides on the attempts of one request: which server to send it to, whether to retry or hedge it,
 * and when it has failed. Times are in monotonic milliseconds. Not thread-safe.
 */
public final class ForwardPlan {
  private static final int MAX_REFUSALS = 6;
  private static final double HEDGE_DELAY_FRACTION_OF_TARGET = 0.6;
  private static final long MIN_HEDGE_DELAY_MILLIS = 100;
  private static final long MIN_ATTEMPT_MILLIS = 20;

  /** Outcome of an attempt. */
  public enum Outcome {
    /** The server returned a successful response. */
    SUCCESS,
    /** The server did not run the request or was not reached. */
    NOT_RUN,
    /** The server ran the request and failed, with status 500. */
    SERVER_ERROR,
    /** The server may have run the request and answered with another status above 500. */
    OTHER_SERVER_ERROR,
    /** The server returned an unsuccessful response that must not be retried. */
    FINAL,
    /** The request may have run. */
    UNKNOWN
  }

  /** Next step after an attempt has ended. */
  public enum Step {
    /** Return the attempt's response to the caller. */
    DELIVER,
    /** Retry the request on another server. */
    TRY_NEXT,
    /** Wait for another attempt in progress. */
    WAIT,
    /** Fail the request. */
    GIVE_UP
  }

  private final Route route;
  private final boolean mayRepeat;
  private final long deadlineMillis;
  private final Set<ServerIncarnation> triedServers = new HashSet<>();
  private int possibleRuns;
  private int refusals;
  private int inProgress;
  private int serverErrors;
  private long uncountedMillis;

  /**
   * Creates the plan of one request.
   *
   * @param deadlineMillis time at which the caller or the route times out, whichever is first
   */
  public ForwardPlan(Route route, long deadlineMillis) {
    this.route = Objects.requireNonNull(route, "route");
    this.mayRepeat = route.mayRepeat();
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the time at which the request times out. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /**
   * Records time that the monotonic clock may have missed, such as while the machine was suspended.
   * It reduces the time left for new attempts; attempts in progress continue.
   */
  public void onUncountedTime(long millis) {
    uncountedMillis = Math.max(uncountedMillis, millis);
  }

  /** Returns the time left for a new attempt. */
  public long remainingMillis(long nowMillis) {
    return deadlineMillis - uncountedMillis - nowMillis;
  }

  /** Returns whether enough time is left for a new attempt. */
  public boolean hasTimeForAttempt(long nowMillis) {
    return remainingMillis(nowMillis) >= MIN_ATTEMPT_MILLIS;
  }

  /** Returns the latest time at which an attempt may be sent. */
  public long latestAttemptMillis(long nowMillis) {
    return nowMillis + remainingMillis(nowMillis) - MIN_ATTEMPT_MILLIS;
  }

  /** Returns whether the request was sent to the given server. */
  public boolean hasTried(ServerIncarnation server) {
    return triedServers.contains(server);
  }

  /**
   * Chooses the server for the next attempt and counts the attempt as in progress; empty if there
   * is no server or no attempt is left.
   */
  public Optional<ServerEntry> nextServer(
      Collection<ServerEntry> servers, ServerPicker picker, long nowMillis) {
    boolean maySend =
        possibleRuns + inProgress < Math.max(1, route.maxAttempts())
            && refusals < MAX_REFUSALS
            && hasTimeForAttempt(nowMillis)
            && (mayRepeat || (possibleRuns == 0 && inProgress == 0));
    if (!maySend) {
      return Optional.empty();
    }
    Optional<ServerEntry> untried = picker.pick(servers, triedServers, nowMillis);
    Optional<ServerEntry> chosen =
        untried.isPresent() || inProgress > 0 ? untried : picker.pick(servers, Set.of(), nowMillis);
    chosen.ifPresent(
        server -> {
          triedServers.add(server.incarnation());
          inProgress++;
        });
    return chosen;
  }

  /**
   * Returns the delay after which a hedged attempt is started, or empty if the request must not be
   * hedged.
   */
  public Optional<Long> hedgeAfterMillis() {
    if (!mayRepeat || route.maxAttempts() < 2) {
      return Optional.empty();
    }
    return Optional.of(
        Math.max(
            MIN_HEDGE_DELAY_MILLIS,
            (long) (route.targetMillis() * HEDGE_DELAY_FRACTION_OF_TARGET)));
  }

  /** Records the outcome of an attempt and returns the next step. */
  public Step onEnded(Outcome outcome, long nowMillis) {
    inProgress--;
    switch (outcome) {
      case SUCCESS, FINAL -> {
        possibleRuns++;
        return Step.DELIVER;
      }
      case NOT_RUN -> refusals++;
      case SERVER_ERROR -> {
        possibleRuns++;
        serverErrors++;
      }
      case OTHER_SERVER_ERROR, UNKNOWN -> possibleRuns++;
    }
    boolean attemptsLeft = possibleRuns + inProgress < Math.max(1, route.maxAttempts());
    boolean repeatable = mayRepeat || possibleRuns == 0;
    if (attemptsLeft && repeatable && hasTimeForAttempt(nowMillis) && refusals < MAX_REFUSALS) {
      return Step.TRY_NEXT;
    }
    if (inProgress > 0) {
      return Step.WAIT;
    }
    boolean hasAnswer = outcome == Outcome.SERVER_ERROR || outcome == Outcome.OTHER_SERVER_ERROR;
    return hasAnswer ? Step.DELIVER : Step.GIVE_UP;
  }

  /** Returns whether it is certain that no server has run or will run the request. */
  public boolean hasDefinitelyNotRun() {
    return possibleRuns == 0 && inProgress == 0;
  }

  /** Returns the number of attempts in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Returns the number of answers of 500 so far. */
  public int serverErrors() {
    return serverErrors;
  }
}
