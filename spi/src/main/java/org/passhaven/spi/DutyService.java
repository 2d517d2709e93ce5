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
}
