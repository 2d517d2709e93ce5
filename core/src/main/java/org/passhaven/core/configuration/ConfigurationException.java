package org.passhaven.core.configuration;

import java.util.List;

/** A configuration that is refused as a whole, with every error found. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<String> errors;

  /** Creates the error; each entry names file, key and rule. */
  public ConfigurationException(List<String> errors) {
    super(String.join("; ", errors));
    this.errors = List.copyOf(errors);
  }

  /** All errors. */
  public List<String> errors() {
    return errors;
  }
}
