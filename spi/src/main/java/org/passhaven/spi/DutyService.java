package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.Map;
import java.util.Objects;

/**
 * Platform calls that only one node at a time performs. Their effects cannot be read back, and a
 * call without a response may have taken effect.
 */
public interface DutyService {
  /** Implementation for a platform without such calls. */
  DutyService NONE =
      (usage, limitMillis) ->
          Uni.createFrom()
              .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "no such duty"));

  /**
   * Number of requests started in a window.
   *
   * @param owner node that holds the lease
   * @param fence fencing token of the lease
   * @param window number of the window
   * @param counts number of requests by tenant
   */
  record Usage(String owner, long fence, long window, Map<String, Long> counts) {
    public Usage {
      Objects.requireNonNull(owner, "owner");
      counts = Map.copyOf(counts);
    }
  }

  /** Reports usage. Identical reports are idempotent. Fails with {@link PlatformException}. */
  Uni<Void> reportUsage(Usage usage, long limitMillis);

  /**
   * Order for the number of servers of a service in a zone.
   *
   * @param owner node that holds the lease
   * @param fence fencing token of the lease
   * @param spot whether it orders spot servers, which are counted by themselves
   */
  record ScaleOrder(
      String owner, long fence, String service, String zone, boolean spot, int servers) {
    public ScaleOrder {
      Objects.requireNonNull(owner, "owner");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(zone, "zone");
      if (servers < 0) {
        throw new IllegalArgumentException("servers must not be negative, but is " + servers);
      }
    }
  }

  /** Outcome of an order for servers. */
  enum ScaleOutcome {
    /** The platform provides the servers. */
    ACCEPTED,
    /** The platform has no such servers in the zone now. */
    UNAVAILABLE
  }

  /**
   * Orders the number of servers of a service in a zone. Fails with {@link PlatformException}; an
   * order without a response may take effect later.
   */
  default Uni<ScaleOutcome> scale(ScaleOrder order, long limitMillis) {
    return Uni.createFrom()
        .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "no such duty"));
  }
}
