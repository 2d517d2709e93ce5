package org.passhaven.spi;

import io.smallrye.mutiny.Uni;
import java.util.Map;
import java.util.Objects;

/**
 * Calls to the platform that are the duty of one node at a time. Nothing can be read back, and a
 * call without an answer may have been done.
 */
public interface DutyService {
  /** A platform without such duties. */
  DutyService NONE =
      (usage, limitMillis) ->
          Uni.createFrom()
              .failure(new PlatformException(PlatformException.Kind.NOT_RUN, "no such duty"));

  /**
   * Requests that began to run in a window.
   *
   * @param owner node that holds the duty
   * @param fence fencing token of the holder
   * @param window number of the window
   * @param counts requests by tenant
   */
  record Usage(String owner, long fence, long window, Map<String, Long> counts) {
    public Usage {
      Objects.requireNonNull(owner, "owner");
      counts = Map.copyOf(counts);
    }
  }

  /** Reports usage; an exact repeat is harmless. Fails with {@link PlatformException}. */
  Uni<Void> reportUsage(Usage usage, long limitMillis);
}
