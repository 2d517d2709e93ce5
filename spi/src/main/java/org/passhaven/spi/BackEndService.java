package org.passhaven.spi;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Objects;
import org.passhaven.protocol.job.HeaderField;

/**
 * Servers that run opaque requests. Each call names the very start of a server that it is meant
 * for; another one at the same address does not run it. Cancelling a call closes its connection.
 */
public interface BackEndService {
  /** One start of a server. */
  record Target(String instance, String address) {
    public Target {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * A request to run.
   *
   * @param id the caller's identity of this attempt
   * @param uri path and query, unaltered
   * @param tenant tenant that it runs for; empty if it runs for none
   * @param deadlineMillis time that the server may take
   */
  record Call(
      String id,
      String tenant,
      String method,
      String uri,
      String host,
      List<HeaderField> headers,
      byte[] body,
      long deadlineMillis) {
    public Call {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(tenant, "tenant");
      Objects.requireNonNull(method, "method");
      Objects.requireNonNull(uri, "uri");
      Objects.requireNonNull(host, "host");
      headers = List.copyOf(headers);
      Objects.requireNonNull(body, "body");
    }
  }

  /**
   * A whole answer that belongs to its request.
   *
   * @param notRun whether the server says that it did not run the request
   * @param signature the server's proof of its answer; empty if there is none
   * @param headers header fields to hand on
   */
  record Answer(
      int status, boolean notRun, String signature, List<HeaderField> headers, byte[] body) {
    public Answer {
      headers = List.copyOf(headers);
    }

    /** Whether the server succeeded. */
    public boolean isSuccess() {
      return status >= 200 && status < 300 && !signature.isEmpty();
    }
  }

  /**
   * Options of a generation.
   *
   * @param lastEvent event to continue after; zero from the beginning
   * @param priority 0 to 9, 0 first
   */
  record Generation(Call call, long lastEvent, int priority) {}

  /** What a generation tells as it goes on. */
  sealed interface Progress {
    /** The server has begun; {@code version} is zero if it names none. */
    record Began(long version) implements Progress {}

    /** An event. {@code version} is zero if it is the same as before. */
    record Event(long id, long version, String data) implements Progress {}
  }

  /** Runs a request; fails with {@link PlatformException}. */
  Uni<Answer> call(Target target, Call call);

  /**
   * The same over a connection that no earlier call has used: whatever keeps an attempt without an
   * answer does not keep this one.
   */
  default Uni<Answer> callAnew(Target target, Call call) {
    return call(target, call);
  }

  /**
   * Runs a generation. The stream ends when the text is whole, and fails with {@link
   * BackEndException}.
   */
  Multi<Progress> generate(Target target, Generation generation);

  /**
   * State of a server.
   *
   * @param busy whether an order is under way
   * @param sequence orders taken since its start
   * @param bornMillis time of day of its start, in milliseconds since 1970; zero if it tells none
   */
  record Report(
      boolean busy, long sequence, long bornMillis, java.util.Map<String, Long> versions) {
    public Report {
      versions = java.util.Map.copyOf(versions);
    }
  }

  /**
   * Order to serve a weight version; taken only while the server's sequence is the expected one.
   */
  record Order(String model, long version, String owner, long fence, long expectedSequence) {}

  /** What became of an order. */
  enum OrderOutcome {
    /** It is being carried out. */
    STARTED,
    /** It was in effect already. */
    IN_EFFECT,
    /** Another order is under way, or the sequence differs. */
    CONFLICT,
    /** The server knows a newer holder. */
    FENCED,
    /** The server takes no such order. */
    REJECTED
  }

  /**
   * Whether one start of a server has ended for certain: nothing listens at its address, or another
   * start does. Fails if that can't be told.
   */
  Uni<Boolean> hasEnded(Target target, long limitMillis);

  /** Asks a server for its state. */
  Uni<Report> report(Target target, long limitMillis);

  /** Orders a weight version. A failed order may still be carried out later. */
  Uni<OrderOutcome> order(Target target, Order order, long limitMillis);
}
