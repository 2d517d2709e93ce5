package org.passhaven.protocol;

import java.util.Objects;

/**
 * A named configuration document.
 *
 * @param key kind and name, separated by a slash, such as {@code trainer/assessor}
 * @param json body of the document as JSON
 */
public record ConfigurationDocument(String key, String json) {
  public ConfigurationDocument {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(json, "json");
  }
}
