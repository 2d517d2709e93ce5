package org.passhaven.core.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.passhaven.core.backend.ServerEntry;
import org.passhaven.core.backend.ServerPicker;
import org.passhaven.core.backend.ServerStart;
import org.passhaven.core.route.Route;

/**
 * Decisions on one request: whether and where it is sent, sent again, or given up, and what may
 * then be said of it. Times in monotonic milliseconds. Not thread-safe.
 */
public final class ForwardPlan {
  private static final int MOST_REFUSALS = 6;
  private static final double HEDGE_PART_OF_TARGET = 0.6;
  private static final long LEAST_HEDGE_MILLIS = 100;
  private static final long LEAST_USEFUL_MILLIS = 20;

  /** What an attempt came to. */
  public enum Outcome {
    /** The server succeeded. */
    SUCCESS,
    /** The server did not run the request, or was not reached. */
    NOT_RUN,
    /** The server ran it and failed: a 500 or the like. */
    SERVER_ERROR,
    /** The server answered it for good, though not with success. */
    FINAL,
    /** It may have run. */
    UNKNOWN
  }

  /** What is to be done after an attempt has ended. */
  public enum Step {
    /** Hand the attempt's answer to the caller. */
    DELIVER,
    /** Send the request to another server. */
    TRY_NEXT,
    /** Another attempt is still under way. */
    WAIT,
    /** Nothing more can be done. */
    GIVE_UP
  }

  private final Route route;
  private final boolean mayRepeat;
  private final long deadlineMillis;
  private final Set<ServerStart> tried = new HashSet<>();
  private int mayHaveRun;
  private int refusals;
  private int inProgress;
  private int serverErrors;
  private long lostMillis;

  /**
   * Creates the plan of one request.
   *
   * @param deadlineMillis when the caller or the route stops waiting
   */
  public ForwardPlan(Route route, long deadlineMillis) {
    this.route = Objects.requireNonNull(route, "route");
    this.mayRepeat = route.mayRepeat();
    this.deadlineMillis = deadlineMillis;
  }

  /** When the request is given up. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /**
   * So much of the caller's time may be gone without having been counted. What is under way goes
   * on, its answer may still come in time; nothing new is sent in time that may not be there.
   */
  public void onTimeLost(long millis) {
    lostMillis = Math.max(lostMillis, millis);
  }

  /** Time that a server may take for the request now. */
  public long leftMillis(long nowMillis) {
    return deadlineMillis - lostMillis - nowMillis;
  }

  /** Whether so much time is left that a server could still answer. */
  public boolean hasTimeLeft(long nowMillis) {
    return leftMillis(nowMillis) >= LEAST_USEFUL_MILLIS;
  }

  /** Whether the request was sent to a server. */
  public boolean hasTried(ServerStart server) {
    return tried.contains(server);
  }

  /** The server to send to now; empty if there is none or the attempts are used up. */
  public Optional<ServerEntry> next(
      Collection<ServerEntry> servers, ServerPicker picker, long nowMillis) {
    boolean mayGo =
        mayHaveRun + inProgress < Math.max(1, route.mostAttempts())
            && refusals < MOST_REFUSALS
            && hasTimeLeft(nowMillis)
            && (mayRepeat || (mayHaveRun == 0 && inProgress == 0));
    if (!mayGo) {
      return Optional.empty();
    }
    Optional<ServerEntry> fresh = picker.pick(servers, tried, nowMillis);
    Optional<ServerEntry> chosen =
        fresh.isPresent() || inProgress > 0 ? fresh : picker.pick(servers, Set.of(), nowMillis);
    chosen.ifPresent(
        server -> {
          tried.add(server.start());
          inProgress++;
        });
    return chosen;
  }

  /** How long an attempt may be silent before another one begins beside it; empty for never. */
  public Optional<Long> hedgeAfterMillis() {
    if (!mayRepeat || route.mostAttempts() < 2) {
      return Optional.empty();
    }
    return Optional.of(
        Math.max(LEAST_HEDGE_MILLIS, (long) (route.targetMillis() * HEDGE_PART_OF_TARGET)));
  }

  /** An attempt has ended. */
  public Step onEnded(Outcome outcome, long nowMillis) {
    inProgress--;
    switch (outcome) {
      case SUCCESS, FINAL -> {
        mayHaveRun++;
        return Step.DELIVER;
      }
      case NOT_RUN -> refusals++;
      case SERVER_ERROR -> {
        mayHaveRun++;
        serverErrors++;
      }
      case UNKNOWN -> mayHaveRun++;
    }
    boolean attemptsLeft = mayHaveRun + inProgress < Math.max(1, route.mostAttempts());
    boolean repeatable = mayRepeat || mayHaveRun == 0;
    if (attemptsLeft && repeatable && hasTimeLeft(nowMillis) && refusals < MOST_REFUSALS) {
      return Step.TRY_NEXT;
    }
    if (inProgress > 0) {
      return Step.WAIT;
    }
    return outcome == Outcome.SERVER_ERROR ? Step.DELIVER : Step.GIVE_UP;
  }

  /** Whether no server has run the request or may still run it. */
  public boolean hasSurelyNotRun() {
    return mayHaveRun == 0 && inProgress == 0;
  }

  /** Attempts that are under way. */
  public int inProgress() {
    return inProgress;
  }

  /** Answers of 500 and the like so far. */
  public int serverErrors() {
    return serverErrors;
  }
}
