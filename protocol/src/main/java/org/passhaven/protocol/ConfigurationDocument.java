package org.passhaven.protocol;

import java.util.Objects;

/**
 * One named document of the configuration.
 *
 * @param key kind and name, such as {@code trainer/assessor}
 * @param json the document's body as JSON
 */
public record ConfigurationDocument(String key, String json) {
  public ConfigurationDocument {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(json, "json");
  }
}
