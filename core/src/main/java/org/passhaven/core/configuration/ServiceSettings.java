package org.passhaven.core.configuration;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/**
 * Settings of a named service behind passhaven.
 *
 * @param serverGroup server group in the platform's machine list
 * @param deadlineMillis maximum time that a caller waits
 * @param routes request classes by path; the HTTP method decides for other paths
 */
public record ServiceSettings(
    @NotBlank String serverGroup,
    @Min(1) @Max(600_000) long deadlineMillis,
    @Valid List<@NotNull Route> routes) {
  public ServiceSettings {
    routes = routes == null ? List.of() : List.copyOf(routes);
  }

  /**
   * Request class of a path prefix.
   *
   * @param path path prefix within the service
   * @param requestClass whether requests on the path may be repeated
   */
  public record Route(@NotBlank String path, @NotNull RequestClass requestClass) {}

  /** Whether a request may be retried after it may have run. */
  public enum RequestClass {
    REPEATABLE,
    AT_MOST_ONCE
  }

  /**
   * Returns the class of a request by the first route that matches its path or, if none does, by
   * the semantics of its method (RFC 9110, 9.2.2).
   */
  public RequestClass classOf(String method, String path) {
    for (Route route : routes) {
      if (path.startsWith(route.path())) {
        return route.requestClass();
      }
    }
    return switch (method) {
      case "GET", "HEAD", "OPTIONS", "PUT", "DELETE" -> RequestClass.REPEATABLE;
      default -> RequestClass.AT_MOST_ONCE;
    };
  }
}
