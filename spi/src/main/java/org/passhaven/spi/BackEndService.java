package org.passhaven.spi;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import org.passhaven.protocol.job.HeaderField;
import org.passhaven.protocol.region.RegionRestriction;

/**
 * Client of the servers of services, among them model servers: runs requests and generations, reads
 * server reports and orders weight versions. Each call names the id of the server that it is meant
 * for; a server with another id at the same address rejects it. Cancelling a call closes its
 * connection.
 */
public interface BackEndService {
  /**
   * A server and its address.
   *
   * @param instance id of the server; a restarted server may keep it
   */
  record Target(String instance, String address) {
    public Target {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * A request to run.
   *
   * @param id identity of this attempt, assigned by the caller
   * @param uri path and query, unmodified
   * @param tenant tenant that the request belongs to; empty if there is none
   * @param deadlineMillis maximum time for the server to respond
   * @param restriction regions in which the request may be served
   */
  record Call(
      String id,
      String tenant,
      String method,
      String uri,
      String host,
      List<HeaderField> headers,
      byte[] body,
      long deadlineMillis,
      RegionRestriction restriction) {
    public Call {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(tenant, "tenant");
      Objects.requireNonNull(method, "method");
      Objects.requireNonNull(uri, "uri");
      Objects.requireNonNull(host, "host");
      headers = List.copyOf(headers);
      Objects.requireNonNull(body, "body");
      Objects.requireNonNull(restriction, "restriction");
    }

    /** Creates a request that may be served in all regions. */
    public Call(
        String id,
        String tenant,
        String method,
        String uri,
        String host,
        List<HeaderField> headers,
        byte[] body,
        long deadlineMillis) {
      this(id, tenant, method, uri, host, headers, body, deadlineMillis, RegionRestriction.NONE);
    }

    /** Returns a copy that may be served in the given regions. */
    public Call withRestriction(RegionRestriction other) {
      return new Call(id, tenant, method, uri, host, headers, body, deadlineMillis, other);
    }
  }

  /**
   * A complete response that was verified to belong to its request.
   *
   * @param notRun whether the server reports that it did not run the request
   * @param signature signature by which the server confirms its response; empty if there is none
   * @param headers header fields to pass on to the caller
   * @param origin where the response came from
   */
  record Answer(
      int status,
      boolean notRun,
      String signature,
      List<HeaderField> headers,
      byte[] body,
      AnswerOrigin origin) {
    public Answer {
      headers = List.copyOf(headers);
      Objects.requireNonNull(origin, "origin");
    }

    /** Creates a response that came over no connection. */
    public Answer(
        int status, boolean notRun, String signature, List<HeaderField> headers, byte[] body) {
      this(status, notRun, signature, headers, body, AnswerOrigin.NONE);
    }

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
      return status >= 200 && status < 300 && !signature.isEmpty();
    }
  }

  /**
   * A request for a generation, with its options.
   *
   * @param lastEvent id of the event to continue after; zero to start from the beginning
   * @param priority priority from 0 (highest) to 9
   */
  record Generation(Call call, long lastEvent, int priority) {}

  /** Progress of a generation. */
  sealed interface Progress {
    /** The server has started the generation; {@code version} is zero if it reports none. */
    record Began(long version) implements Progress {}

    /** An event of the text; {@code version} is zero if unchanged. */
    record Event(long id, long version, String data) implements Progress {}
  }

  /** Runs a request. Fails with {@link PlatformException}. */
  Uni<Answer> call(Target target, Call call);

  /**
   * Runs a request on a new connection, so that it is not affected by a connection that went
   * silent.
   */
  default Uni<Answer> callOnNewConnection(Target target, Call call) {
    return call(target, call);
  }

  /**
   * Returns whether a server is likely to answer without end: the calls that were cancelled while
   * it answered have received more, since its last whole answer, than one answer may have.
   */
  boolean isAnsweringWithoutEnd(Target target);

  /**
   * Runs a generation. The stream completes when the text is complete. Fails with {@link
   * BackEndException}.
   */
  Multi<Progress> generate(Target target, Generation generation);

  /**
   * State reported by a server.
   *
   * @param busy whether an order is in progress
   * @param sequence number of orders accepted since the server started
   * @param startMillis start time in milliseconds since 1970; zero if not reported
   */
  record Report(
      boolean busy, long sequence, long startMillis, java.util.Map<String, Long> versions) {
    public Report {
      versions = java.util.Map.copyOf(versions);
    }
  }

  /** Order to load a weight version; accepted only if the server's sequence is the expected one. */
  record Order(String model, long version, String owner, long fence, long expectedSequence) {}

  /** Outcome of an order. */
  enum OrderOutcome {
    /** The order is being executed. */
    STARTED,
    /** The server already has the version. */
    IN_EFFECT,
    /** Another order is in progress, or the sequence differs. */
    CONFLICT,
    /** The server has seen a higher fencing token. */
    FENCED,
    /** The server rejects the order. */
    REJECTED
  }

  /**
   * Determines whether a server has definitely terminated: nothing listens at its address, or a
   * server with another id does. Fails if this cannot be determined.
   */
  Uni<Boolean> hasEnded(Target target, long timeoutMillis);

  /** Requests the state of a server. */
  Uni<Report> report(Target target, long timeoutMillis);

  /** Orders a server to load a weight version. A failed order may still be executed later. */
  Uni<OrderOutcome> order(Target target, Order order, long timeoutMillis);
}
